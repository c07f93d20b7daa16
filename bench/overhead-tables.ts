/** Tables of the overhead of the path through an entry, and of its memory. */
import {formatTable} from '../src/operator/table.js';
import {systemName, type GoodputRun} from './goodput.js';
import type {HeldMemory, Memory} from './memory.js';
import type {Overhead} from './overhead.js';

function megabytes(bytes: number): string {
	return `${(bytes / 1e6).toFixed(1)} MB`;
}

export function formatOverhead({latencies, idleCoreShare, shortRequestsPerCoreSecond, residentBytes}: Overhead): string {
	const table = formatTable(
		['requests', 'direct median ms', 'direct p99', 'through entry median', 'through entry p99', 'added median', 'added p99'],
		latencies.map(({kind, direct, throughEntry, addedMedian, addedPercentile99}) => [
			`${kind} (${throughEntry.count})`,
			...[direct.median, direct.percentile99, throughEntry.median, throughEntry.percentile99, addedMedian, addedPercentile99].map(value => Number(value.toFixed(2))),
		]),
	);
	return [
		table,
		`idle entry: ${(idleCoreShare * 100).toFixed(2)} % of a core, ${megabytes(residentBytes)} resident`,
		`short requests: ${shortRequestsPerCoreSecond.toFixed(0)} a second per core of an entry`,
	].join('\n');
}

/** Formats requests per processor second of the entries during the goodput runs. */
export function formatProcessorTime(runs: readonly GoodputRun[]): string {
	const ofSystem = runs.filter(({contestant}) => contestant === systemName);
	return formatTable(
		['load', 'requests', 'entry processor seconds', 'requests per core second'],
		ofSystem.map(({loadFactor, sent, entryCpuSeconds, isTopTierAlone}) => [
			`${loadFactor}${isTopTierAlone ? ', top tier alone' : ''}`, sent, Number(entryCpuSeconds.toFixed(2)), Math.round(sent / entryCpuSeconds),
		]),
	);
}

function createHeldRow(name: string, {held, residentBytesBefore, residentBytesPeak, bytesPerRequest}: HeldMemory) {
	return [name, held, megabytes(residentBytesBefore), megabytes(residentBytesPeak), `${(bytesPerRequest / 1000).toFixed(1)} kB`];
}

export function formatMemory({slot, waiting, streams}: Memory): string {
	return formatTable([`held by ${slot}`, 'count', 'resident before', 'highest', 'growth for each'], [createHeldRow('waiting requests', waiting), createHeldRow('open streams', streams)]);
}
