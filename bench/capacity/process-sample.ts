/** Reads processor time, transferred bytes and memory of other processes from Linux's `/proc`. */
import {readdirSync, readFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

export type ProcessSample = {
	/** Processor time of all threads since the start of the process. */
	readonly cpuMs: number;
	/** Bytes passed to and received from the kernel by write and read calls on sockets, pipes and files, without TCP and IP headers. */
	readonly sentBytes: number;
	readonly receivedBytes: number;
	readonly sampledAt: number;
};

/** Rates between two samples of a process, per second. */
export type ProcessRates = {
	/** Processor time in milliseconds per second: 10 is 1 % of a core. */
	readonly cpuMs: number;
	readonly sentBytes: number;
	readonly receivedBytes: number;
};

function readField(text: string, name: string): number {
	return Number(new RegExp(String.raw`^${name}:\s+(\d+)`, 'mv').exec(text)![1]);
}

export function sampleProcess(pid: number): ProcessSample {
	const threads = readdirSync(`/proc/${pid}/task`);
	const nanoseconds = threads.map(thread => Number(readFileSync(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').split(' ')[0]));
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	return {
		cpuMs: nanoseconds.reduce((sum, value) => sum + value, 0) / 1e6,
		sentBytes: readField(io, 'wchar'),
		receivedBytes: readField(io, 'rchar'),
		sampledAt: performance.now(),
	};
}

export function calculateRates(before: ProcessSample, after: ProcessSample): ProcessRates {
	const seconds = (after.sampledAt - before.sampledAt) / 1000;
	return {
		cpuMs: (after.cpuMs - before.cpuMs) / seconds,
		sentBytes: (after.sentBytes - before.sentBytes) / seconds,
		receivedBytes: (after.receivedBytes - before.receivedBytes) / seconds,
	};
}

/** Resident memory in megabytes (10^6 bytes). */
export function readResidentMegabytes(pid: number): number {
	return readField(readFileSync(`/proc/${pid}/status`, 'utf8'), 'VmRSS') * 1024 / 1e6;
}
