/** One entry of the fleet: its settings file and its current process, if any. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {request} from 'undici';
import type {EntrySettings} from '../../src/entry/settings.js';
import type {Disposable} from '../../src/shared/disposable-store.js';
import {FleetProcess, type ExitStatus} from './fleet-process.js';
import {waitFor} from './deadline.js';

export type EntryProcessOptions = {
	readonly settings: EntrySettings;
	/** Path of the compiled main module. */
	readonly mainPath: string;
	/** Directory of settings and logs. */
	readonly directory: string;
};

export class EntryProcess implements Disposable {
	static create(options: EntryProcessOptions): EntryProcess {
		return new EntryProcess(options);
	}

	readonly settingsPath: string;
	readonly logPath: string;
	#process: FleetProcess | undefined;

	private constructor(private readonly options: EntryProcessOptions) {
		const {directory, settings} = options;
		this.settingsPath = path.join(directory, `${settings.slot}.json`);
		this.logPath = path.join(directory, `${settings.slot}.log`);
	}

	get slot(): string {
		return this.options.settings.slot;
	}

	get settings(): EntrySettings {
		return this.options.settings;
	}

	get pid(): number | undefined {
		return this.#process?.isRunning ? this.#process.pid : undefined;
	}

	get isRunning(): boolean {
		return this.#process?.isRunning ?? false;
	}

	/** How the last process ended. */
	get exitStatus(): ExitStatus | undefined {
		return this.#process?.status;
	}

	/** Base URL of the caller interface. */
	get callersUrl(): string {
		return `http://${this.settings.listen.callers}`;
	}

	/** Base URL of the operator interface. */
	get operatorsUrl(): string {
		return `http://${this.settings.listen.operators}`;
	}

	/** Starts a process, with a new incarnation if one ran before. */
	start(): void {
		if (this.isRunning) {
			throw new Error(`${this.slot} is already running`);
		}

		writeFileSync(this.settingsPath, JSON.stringify(this.settings, null, '\t'));
		this.#process = FleetProcess.start({
			name: this.slot, mainPath: this.options.mainPath, arguments: ['--settings', this.settingsPath], logPath: this.logPath,
		});
	}

	/** Sends SIGKILL; resolves when the process has ended. */
	async kill(): Promise<ExitStatus | undefined> {
		return this.#process?.kill();
	}

	/** Sends SIGTERM, and SIGKILL after the timeout. Resolves when the process has ended. */
	async stop(timeoutMs?: number): Promise<ExitStatus | undefined> {
		return this.#process?.stop(timeoutMs);
	}

	/** Sends SIGSTOP. */
	suspend(): void {
		this.#process?.suspend();
	}

	/** Sends SIGCONT. */
	resume(): void {
		this.#process?.resume();
	}

	/** Whether `/readyz` responds with status 200 within half a second. */
	async isReady(): Promise<boolean> {
		if (!this.isRunning) {
			return false;
		}

		try {
			const response = await request(`${this.operatorsUrl}/readyz`, {headersTimeout: 500, bodyTimeout: 500});
			await response.body.dump();
			return response.statusCode === 200;
		} catch {
			return false;
		}
	}

	/** @throws {DeadlineError} */
	async waitUntilReady(timeoutMs = 15_000): Promise<void> {
		await waitFor(async () => {
			if (!this.isRunning) {
				return true;
			}

			return this.isReady();
		}, {what: `${this.slot} is ready, see ${this.logPath}`, timeoutMs});
		if (!this.isRunning) {
			throw new Error(`${this.slot} ended with ${JSON.stringify(this.exitStatus)} before it was ready, see ${this.logPath}`);
		}
	}

	/** The status report of the operator interface. */
	async status(): Promise<unknown> {
		return this.#operatorDocument('/v1/status');
	}

	/** The audit trail of the operator interface. */
	async audit(): Promise<unknown> {
		return this.#operatorDocument('/v1/audit');
	}

	async dispose(): Promise<void> {
		// SIGKILL also ends a suspended process.
		await this.kill();
	}

	async #operatorDocument(documentPath: string): Promise<unknown> {
		const response = await request(`${this.operatorsUrl}${documentPath}`, {headersTimeout: 2000, bodyTimeout: 2000});
		return response.body.json();
	}
}
