import {problemTypes, type SlowFinding, type StatusReport} from '../shared/status.js';
import {
	compareNames, type Fleet, type FleetEntry, type UnreachableEntry,
} from './fleet.js';
import {groupBy} from './group-by.js';
import {formatDuration} from './table.js';

/** A current problem, with the slots that report it. */
export type FleetProblem = {
	/** One of `problemTypes`, or another type that a newer entry reports. */
	readonly type: string;
	readonly subject: string;
	readonly detail: string;
	/** Slots of the entries that report it, or whose reports disagree. */
	readonly seenBy: readonly string[];
};

type Rule = (fleet: Fleet) => FleetProblem[];

/** Finds all current problems: those that the entries report and those that a comparison of their reports shows. */
export function findProblems(fleet: Fleet): FleetProblem[] {
	return mergeDuplicates(rules.flatMap(rule => rule(fleet)));
}

const rules: readonly Rule[] = [
	fleet => fleet.unreachable.filter(entry => !entry.isLeaving).map(entry => toUnreachableProblem(entry)),
	findVacantSlots,
	findDuplicateSlots,
	findDifferentVersions,
	findDifferentDigests,
	findDifferentZoneStates,
	fleet => fleet.entries.flatMap(entry => findProblemsInReport(entry.report)),
];

function toUnreachableProblem({address, slot, type, detail}: UnreachableEntry): FleetProblem {
	return {
		type: problemTypes.entryUnreachable, subject: slot === undefined ? address : `${slot} (${address})`, detail: `${type}: ${detail}`, seenBy: [],
	};
}

function findVacantSlots({entries, unreachable}: Fleet): FleetProblem[] {
	const occupiedSlots = new Set([
		...entries.map(entry => entry.report.slot),
		...entries.flatMap(entry => entry.report.peers.filter(peer => peer.isReachable).map(peer => peer.slot)),
		...unreachable.flatMap(entry => entry.slot ?? []),
	]);
	return entries.flatMap(({report}) => report.lease.groupSlots.filter(slot => !occupiedSlots.has(slot)).map(slot => ({
		type: problemTypes.slotVacant, subject: slot, detail: 'no entry instance runs as this slot; its units are idle', seenBy: [report.slot],
	})));
}

function findDuplicateSlots({entries}: Fleet): FleetProblem[] {
	const bySlot = groupBy(entries, entry => entry.report.slot);
	return [...bySlot].filter(([, sameSlot]) => sameSlot.length > 1).map(([slot, sameSlot]) => ({
		type: problemTypes.duplicateSlot,
		subject: slot,
		detail: `runs more than once: ${sameSlot.map(entry => `${entry.address} (lease ${entry.report.lease.isHeld ? 'held' : 'not held'})`).join(', ')}`,
		seenBy: [slot],
	}));
}

function versionOf(entry: FleetEntry): number | undefined {
	return entry.report.configuration?.version;
}

function findDifferentVersions({entries}: Fleet): FleetProblem[] {
	const newest = Math.max(...entries.map(entry => versionOf(entry) ?? 0));
	return entries.flatMap(entry => {
		const version = versionOf(entry);
		return version === undefined || version === newest
			? []
			: [{
				type: problemTypes.versionsDiffer, subject: entry.report.slot, detail: `version ${version} is in force, ${newest} elsewhere`, seenBy: [entry.report.slot],
			}];
	});
}

function findDifferentDigests({entries}: Fleet): FleetProblem[] {
	const byVersion = groupBy(entries.filter(entry => entry.report.configuration), entry => versionOf(entry)!);
	return [...byVersion].flatMap(([version, versionEntries]) => {
		const byDigest = groupBy(versionEntries, entry => entry.report.configuration!.digest);
		return byDigest.size < 2
			? []
			: [{
				type: problemTypes.configurationConflict,
				subject: `version ${version}`,
				detail: `differs between entries: ${[...byDigest].map(([digest, digestEntries]) => `${digest} on ${digestEntries.map(entry => entry.report.slot).join(', ')}`).join('; ')}`,
				seenBy: versionEntries.map(entry => entry.report.slot),
			}];
	});
}

function findDifferentZoneStates({entries}: Fleet): FleetProblem[] {
	const states = entries.flatMap(({report}) => report.availabilityZones.map(({availabilityZone, state}) => ({availabilityZone, state, slot: report.slot})));
	return [...groupBy(states, item => item.availabilityZone)].flatMap(([availabilityZone, items]) => {
		const out = items.filter(item => item.state === 'out').map(item => item.slot);
		return out.length === 0 || out.length === items.length
			? []
			: [{
				type: problemTypes.availabilityZoneStatesDiffer, subject: availabilityZone, detail: `out of service only for ${out.join(', ')}`, seenBy: items.map(item => item.slot),
			}];
	});
}

function findProblemsInReport(report: StatusReport): FleetProblem[] {
	const createProblem = (type: string, subject: string, detail: string): FleetProblem => ({
		type, subject, detail, seenBy: [report.slot],
	});
	return [
		...findReadinessProblems(report),
		...findPlatformProblems(report),
		...report.endpoints
			.filter(endpoint => endpoint.isInService && !endpoint.isLeaving && endpoint.phase === 'cold')
			.map(endpoint => createProblem(problemTypes.endpointCold, endpoint.endpoint, `limited to ${endpoint.limit} of ${endpoint.units} units`)),
		...report.slowFindings.map(finding => createProblem(finding.type, subjectOf(finding), describeFinding(finding))),
		...report.peers
			.filter(peer => !peer.isReachable && !peer.isLeaving)
			.map(peer => createProblem(problemTypes.peerUnreachable, peer.slot, 'not reachable from other entries')),
		...report.problems.map(({type, subject, detail}) => createProblem(type, subject, detail)),
	];
}

/** Whether the entry's availability zone is out of service. Such an entry is expected not to be ready. */
function isZoneOutOfService(report: StatusReport): boolean {
	return report.availabilityZones.some(zone => zone.availabilityZone === report.availabilityZone && zone.state === 'out');
}

function findReadinessProblems(report: StatusReport): FleetProblem[] {
	const createProblem = (type: string, detail: string): FleetProblem => ({
		type, subject: report.slot, detail, seenBy: [report.slot],
	});
	return [
		...(report.readiness.ready || isZoneOutOfService(report) ? [] : [createProblem(problemTypes.notReady, report.readiness.reason ?? 'no reason given')]),
		...(report.lease.isHeld ? [] : [createProblem(problemTypes.leaseNotHeld, `dispatches nothing; lost ${report.lease.lostCount} times since its start`)]),
		...(report.configuration ? [] : [createProblem(problemTypes.noConfiguration, 'no valid configuration was received yet')]),
	];
}

function findPlatformProblems({slot, configuration, configurationService, instanceList}: StatusReport): FleetProblem[] {
	const describeLastContact = (agoMs: number | undefined): string => agoMs === undefined ? 'never reached' : `last reached ${formatDuration(agoMs)} ago`;
	const problems: FleetProblem[] = [];
	if (!configurationService.isReachable) {
		problems.push({
			type: problemTypes.configurationServiceUnreachable, subject: 'configuration service', detail: describeLastContact(configurationService.lastContactMillisecondsAgo), seenBy: [slot],
		});
	}

	if (configuration && configurationService.revision !== undefined && configurationService.revision < configuration.version) {
		problems.push({
			type: problemTypes.configurationServiceBehind,
			subject: 'configuration service',
			detail: `returns revision ${configurationService.revision}, version ${configuration.version} is in force`,
			seenBy: [slot],
		});
	}

	if (!instanceList.isReachable) {
		problems.push({
			type: problemTypes.instanceListUnreachable, subject: 'instance list', detail: describeLastContact(instanceList.lastContactMillisecondsAgo), seenBy: [slot],
		});
	}

	return problems;
}

function subjectOf(finding: SlowFinding): string {
	return finding.type === 'endpoint-slow' ? finding.endpoint : finding.tier;
}

function describeFinding(finding: SlowFinding): string {
	const factor = finding.factor.toFixed(1);
	const currentDuration = formatDuration(finding.presentMilliseconds);
	return finding.type === 'endpoint-slow'
		? `${finding.measure} ${currentDuration} is ${factor} times ${formatDuration(finding.referenceMilliseconds)}, its ${finding.comparedWith === 'peers' ? 'peers\' median' : 'own past'}`
		: `${finding.measure} ${currentDuration} is ${factor} times its bound of ${formatDuration(finding.boundMilliseconds)}`;
}

/** Merges reports of the same problem by several entries into one, with the detail of the first. */
function mergeDuplicates(problems: readonly FleetProblem[]): FleetProblem[] {
	const groups = groupBy(problems, ({type, subject}) => JSON.stringify([type, subject]));
	return [...groups.values()].map(group => ({
		...group[0]!,
		seenBy: [...new Set(group.flatMap(problem => problem.seenBy))].toSorted(compareNames),
	}));
}
