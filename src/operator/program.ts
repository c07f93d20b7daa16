import process from 'node:process';
import {Command, CommanderError} from 'commander';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {OperatorError} from './operator-error.js';

export type ProgramOptions = {
	readonly name: string;
	readonly description: string;
};

/** Creates a program for {@link runProgram}. It throws an error instead of exiting the process. */
export function createProgram({name, description}: ProgramOptions): Command {
	return new Command(name)
		.description(description)
		.exitOverride()
		.showHelpAfterError('(add --help for the usage)');
}

/** Prints to standard output. */
export function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

/** Prints a message for the operator to standard error, because it is not part of the result. */
export function printDiagnostic(text: string): void {
	process.stderr.write(`${text}\n`);
}

export function printJson(value: unknown): void {
	print(JSON.stringify(value, undefined, '\t'));
}

/** Sets the exit code of the process, which exits when its output is written. */
export function setExitCode(exitCode: ExitCode): void {
	process.exitCode = exitCode;
}

/** Parses the command line and runs the command. Every error is reported as one line on standard error and an exit code. */
export async function runProgram(program: Command): Promise<void> {
	ignoreClosedOutput();
	try {
		await program.parseAsync(process.argv);
	} catch (error) {
		setExitCode(reportError(error, program.name()));
	}
}

/** A reader such as `head` may close the pipe before everything is written, which is not an error of the command. */
function ignoreClosedOutput(): void {
	process.stdout.on('error', (error: NodeJS.ErrnoException) => {
		if (error.code !== 'EPIPE') {
			throw error;
		}
	});
}

function reportError(error: unknown, name: string): ExitCode {
	// Commander has already printed its message; it uses 0 for help and version, and 1 for all errors.
	if (error instanceof CommanderError) {
		return error.exitCode === 0 ? exitCodes.ok : exitCodes.usage;
	}

	const operatorError = error instanceof OperatorError ? error : OperatorError.create('internal-error', String(error), error);
	printDiagnostic(`${name}: ${operatorError.message}`);
	return operatorError.exitCode;
}
