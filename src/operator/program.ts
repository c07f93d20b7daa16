import process from 'node:process';
import {Command, CommanderError} from 'commander';
import {exitCodes, type ExitCode} from './exit-codes.js';
import {OperatorError} from './operator-error.js';

export type ProgramOptions = {
	readonly name: string;
	readonly description: string;
};

/** Creates a program that throws instead of ending the process, for {@link runProgram}. */
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

/** Prints a note for the operator that is not part of the result. */
export function printDiagnostic(text: string): void {
	process.stderr.write(`${text}\n`);
}

export function printJson(value: unknown): void {
	print(JSON.stringify(value, undefined, '\t'));
}

/** Sets the exit code; the process ends when its output is written. */
export function setExitCode(exitCode: ExitCode): void {
	process.exitCode = exitCode;
}

/** Parses the command line and runs the command. Every error becomes one line on standard error and an exit code. */
export async function runProgram(program: Command): Promise<void> {
	ignoreClosedOutput();
	try {
		await program.parseAsync(process.argv);
	} catch (error) {
		setExitCode(reportError(error, program.name()));
	}
}

/** A reader such as `head` may close the pipe before everything is written; that is no error of the command. */
function ignoreClosedOutput(): void {
	process.stdout.on('error', (error: NodeJS.ErrnoException) => {
		if (error.code !== 'EPIPE') {
			throw error;
		}
	});
}

function reportError(error: unknown, name: string): ExitCode {
	// Commander has printed its own message and uses 0 for help and version, 1 for all mistakes.
	if (error instanceof CommanderError) {
		return error.exitCode === 0 ? exitCodes.ok : exitCodes.usage;
	}

	const operatorError = error instanceof OperatorError ? error : OperatorError.create('internal-error', String(error), error);
	printDiagnostic(`${name}: ${operatorError.message}`);
	return operatorError.exitCode;
}
