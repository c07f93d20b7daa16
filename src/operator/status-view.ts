import type {StatusReport} from '../shared/status.js';
import type {FleetProblem} from './fleet-problems.js';
import {compareNames, type Fleet, type FleetEntry} from './fleet.js';
import {groupBy} from './group-by.js';
import {formatDuration, formatTable} from './table.js';

type EndpointReport = StatusReport['endpoints'][number];

/** Formats the state of a fleet as text tables: entries, tiers, endpoints, availability zones and problems. */
export function formatStatus(fleet: Fleet, problems: readonly FleetProblem[]): string {
	return [
		`Entries\n${formatEntries(fleet)}`,
		`Tiers, all entries together\n${formatTiers(fleet.entries)}`,
		`Endpoints\n${formatEndpoints(fleet.entries)}`,
		`Availability zones\n${formatAvailabilityZones(fleet.entries)}`,
		problems.length === 0 ? 'Nothing is wrong.' : `Wrong now\n${formatProblems(problems)}`,
	].join('\n\n');
}

function formatEntries({entries, unreachable}: Fleet): string {
	return formatTable(
		['SLOT', 'ADDRESS', 'ZONE', 'VERSION', 'LEASE', 'READY', 'UP'],
		[
			...entries.map(({address, report}) => [
				report.slot,
				address,
				report.availabilityZone,
				report.configuration?.version,
				report.lease.isHeld ? 'held' : 'NOT HELD',
				report.readiness.ready ? 'yes' : `no: ${report.readiness.reason ?? 'no reason given'}`,
				formatDuration(report.upMilliseconds),
			]),
			...unreachable.map(({address, slot, isLeaving, type}) => [slot, address, undefined, undefined, undefined, `${type}${isLeaving ? ', leaving' : ''}`, undefined]),
		],
	);
}

function formatTiers(entries: readonly FleetEntry[]): string {
	const tiers = groupBy(entries.flatMap(entry => entry.report.tiers), tier => tier.tier);
	const rows = [...tiers]
		.map(([tier, reports]) => ({
			tier,
			rank: reports[0]!.rank,
			waiting: sum(reports.map(report => report.waiting)),
			running: sum(reports.map(report => report.running)),
			oldest: Math.max(...reports.map(report => report.oldestWaitingMilliseconds ?? 0)),
		}))
		.toSorted((left, right) => left.rank - right.rank);
	return formatTable(
		['TIER', 'RANK', 'WAITING', 'RUNNING', 'OLDEST WAITING'],
		rows.map(({tier, rank, waiting, running, oldest}) => [tier, rank, waiting, running, waiting === 0 ? '-' : formatDuration(oldest)]),
	);
}

function formatEndpoints(entries: readonly FleetEntry[]): string {
	const endpoints = groupBy(entries.flatMap(entry => entry.report.endpoints), endpoint => endpoint.endpoint);
	return formatTable(
		['ENDPOINT', 'SERVICE', 'ZONE', 'STATE', 'PHASE', 'IN USE', 'LIMIT', 'UNITS'],
		[...endpoints].toSorted(([left], [right]) => compareNames(left, right)).map(([name, reports]) => [
			name,
			reports[0]!.service,
			reports[0]!.availabilityZone,
			summariseValues(reports.map(report => stateOf(report))),
			summariseValues(reports.map(report => report.phase)),
			sum(reports.map(report => report.unitsInUse)),
			Math.min(...reports.map(report => report.limit)),
			reports[0]!.units,
		]),
	);
}

function stateOf({isInService, isLeaving}: EndpointReport): string {
	return isLeaving ? 'leaving' : (isInService ? 'in' : 'out');
}

function formatAvailabilityZones(entries: readonly FleetEntry[]): string {
	const zones = groupBy(entries.flatMap(entry => entry.report.availabilityZones), zone => zone.availabilityZone);
	return formatTable(
		['ZONE', 'REGION', 'STATE'],
		[...zones].toSorted(([left], [right]) => compareNames(left, right)).map(([name, reports]) => [name, reports[0]!.region, summariseValues(reports.map(report => report.state))]),
	);
}

function formatProblems(problems: readonly FleetProblem[]): string {
	return formatTable(['TYPE', 'SUBJECT', 'DETAIL', 'SEEN BY'], problems.map(({type, subject, detail, seenBy}) => [type, subject, detail, seenBy.join(', ')]));
}

/** The value when all entries report the same one, otherwise each value with the number of entries that report it. */
function summariseValues(values: readonly string[]): string {
	const groups = [...groupBy(values, value => value)];
	return groups.length === 1 ? groups[0]![0] : groups.map(([value, same]) => `${value} (${same.length})`).join(', ');
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
