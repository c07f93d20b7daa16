/** A child process of the fleet: its output goes to a file, and it is terminated by its process id. */
import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, openSync} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import type {Disposable} from '../../src/shared/disposable-store.js';
import {waitFor} from './deadline.js';

const endWithParentPath = fileURLToPath(new URL('end-with-parent.js', import.meta.url));

export type FleetProcessOptions = {
	readonly name: string;
	/** Path of the compiled main module. */
	readonly mainPath: string;
	readonly arguments: readonly string[];
	readonly logPath: string;
};

/** Exit code or signal of an ended process. */
export type ExitStatus = {
	readonly code: number | undefined;
	readonly signal: NodeJS.Signals | undefined;
};

/** Reads the pairs of one key=value log line. Values in quotation marks are JSON strings. */
export function parseLogLine(line: string): Record<string, string> {
	const pairs: Record<string, string> = {};
	for (const {groups} of line.matchAll(/(?<key>[\w.]+)=(?<value>"(?:[^"\\]|\\.)*"|\S*)/gv)) {
		const value = groups!.value!;
		pairs[groups!.key!] = value.startsWith('"') ? JSON.parse(value) as string : value;
	}

	return pairs;
}

export class FleetProcess implements Disposable {
	static start(options: FleetProcessOptions): FleetProcess {
		return new FleetProcess(options);
	}

	/** Resolves when the process has ended. */
	readonly exited: Promise<ExitStatus>;
	readonly #child: ChildProcess;
	readonly #startupEvents: Array<Record<string, string>> = [];
	#status: ExitStatus | undefined;

	private constructor(readonly options: FleetProcessOptions) {
		this.#child = spawn(
			process.execPath,
			['--import', endWithParentPath, options.mainPath, ...options.arguments],
			{stdio: ['pipe', 'pipe', 'pipe']},
		);
		// The parent may close the pipe after the child has exited.
		this.#child.stdin!.on('error', () => undefined);
		const log = createWriteStream(options.logPath, {fd: openSync(options.logPath, 'a')});
		this.#child.stdout!.pipe(log, {end: false});
		this.#child.stderr!.pipe(log, {end: false});
		createInterface({input: this.#child.stdout!}).on('line', line => {
			this.#readLine(line);
		});
		this.exited = new Promise(resolve => {
			this.#child.once('error', () => {
				this.#recordExit({code: undefined, signal: undefined}, resolve);
			});
			this.#child.once('close', (code, signal) => {
				log.end();
				this.#recordExit({code: code ?? undefined, signal: signal ?? undefined}, resolve);
			});
		});
	}

	get pid(): number | undefined {
		return this.#child.pid;
	}

	get status(): ExitStatus | undefined {
		return this.#status;
	}

	get isRunning(): boolean {
		return this.#status === undefined;
	}

	/** Events logged at start-up, in order; only the first hundred are kept. */
	get startupEvents(): ReadonlyArray<Readonly<Record<string, string>>> {
		return this.#startupEvents;
	}

	/** @throws {DeadlineError} when the process does not log the event in time */
	async waitForEvent(event: string, timeoutMs?: number): Promise<void> {
		await waitFor(() => this.#startupEvents.some(pairs => pairs.event === event), {
			what: `event ${event} of ${this.options.name}, see ${this.options.logPath}`, timeoutMs,
		});
	}

	signal(signal: NodeJS.Signals): void {
		if (this.isRunning) {
			this.#child.kill(signal);
		}
	}

	/** Sends SIGKILL. */
	async kill(): Promise<ExitStatus> {
		this.signal('SIGKILL');
		return this.exited;
	}

	/** Sends SIGTERM, and SIGKILL if the process is still running after the timeout. */
	async stop(timeoutMs = 5000): Promise<ExitStatus> {
		this.signal('SIGTERM');
		const timer = setTimeout(() => {
			this.signal('SIGKILL');
		}, timeoutMs);
		const status = await this.exited;
		clearTimeout(timer);
		return status;
	}

	/** Sends SIGSTOP. */
	suspend(): void {
		this.signal('SIGSTOP');
	}

	/** Sends SIGCONT. */
	resume(): void {
		this.signal('SIGCONT');
	}

	async dispose(): Promise<void> {
		await this.kill();
	}

	#readLine(line: string): void {
		if (this.#startupEvents.length < 100) {
			this.#startupEvents.push(parseLogLine(line));
		}
	}

	#recordExit(status: ExitStatus, resolve: (status: ExitStatus) => void): void {
		this.#status = status;
		resolve(status);
	}
}
