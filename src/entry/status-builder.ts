import type {Clock, Milliseconds} from '../shared/clock.js';
import type {StatusProblem, StatusReport} from '../shared/status.js';
import type {InvariantViolation} from '../shared/invariants.js';
import type {SourceStatus} from './platform/source-health.js';
import type {PeerContact} from './membership/types.js';
import {groupSlots, type SchedulerSnapshot} from './scheduler/scheduler-task.js';
import type {SchedulerContext} from './scheduler/context.js';
import type {EntrySettings} from './settings.js';
import {violationProblems} from './status-problems.js';

/** Reachability of the configuration service or the instance list, and the revision of its latest response. */
export type PlatformContact = Pick<SourceStatus, 'isReachable' | 'lastResponseAt'> & {
	readonly revision: number | undefined;
};

export type StatusSources = {
	readonly settings: EntrySettings;
	readonly incarnation: string;
	readonly clock: Clock;
	readonly startedAt: Milliseconds;
	readonly context: SchedulerContext;
	readonly snapshot: () => SchedulerSnapshot;
	readonly readiness: () => {readonly ready: boolean; readonly reason?: string};
	readonly operatorAddress: () => string;
	readonly configurationService: () => PlatformContact;
	readonly instanceList: () => PlatformContact;
	readonly lostLeaseCount: () => number;
	readonly violations: readonly InvariantViolation[];
	/** Problems with configuration documents that were not adopted. */
	readonly configurationProblems: () => readonly StatusProblem[];
};

/** Builds the report that `/v1/status` serves. */
export class StatusBuilder {
	static create(sources: StatusSources): StatusBuilder {
		return new StatusBuilder(sources);
	}

	private constructor(private readonly sources: StatusSources) {}

	build(): StatusReport {
		const {settings, incarnation, clock, startedAt, context} = this.sources;
		const now = clock.now();
		const current = context.configuration();
		const heldUntil = context.peers.lease.heldUntil();
		return {
			slot: settings.slot,
			incarnation,
			site: settings.site,
			region: settings.region,
			availabilityZone: settings.availabilityZone,
			operatorAddress: this.sources.operatorAddress(),
			wallTime: clock.wallTime(),
			upMilliseconds: Math.round(now - startedAt),
			readiness: this.sources.readiness(),
			configuration: current && {
				version: current.version,
				digest: current.digest,
				source: current.source,
				inForceMilliseconds: Math.round(now - current.adoptedAt),
			},
			configurationService: this.#platformStatus(this.sources.configurationService()),
			instanceList: this.#platformStatus(this.sources.instanceList()),
			lease: {
				isHeld: heldUntil !== undefined,
				remainingMilliseconds: heldUntil === undefined ? undefined : Math.round(heldUntil - now),
				lostCount: this.sources.lostLeaseCount(),
				groupSlots: current ? groupSlots(current.configuration, settings.region) : [],
			},
			peers: this.#peers(),
			tiers: this.#tiers(),
			endpoints: this.#endpoints(),
			availabilityZones: Object.entries(current?.configuration.availabilityZones ?? {})
				.map(([availabilityZone, {region, state}]) => ({availabilityZone, region, state})),
			slowFindings: context.slowDetector.findings(),
			// Only problems that the other members do not show; the operator programs derive the rest from those members.
			problems: [...violationProblems(this.sources.violations), ...this.sources.configurationProblems()],
		};
	}

	#platformStatus({isReachable, lastResponseAt, revision}: PlatformContact): StatusReport['configurationService'] {
		return {
			isReachable,
			lastContactMillisecondsAgo: lastResponseAt === undefined ? undefined : Math.round(this.sources.clock.now() - lastResponseAt),
			revision,
		};
	}

	#peers(): StatusReport['peers'] {
		const {clock, context, settings} = this.sources;
		const current = context.configuration();
		const slots = current ? groupSlots(current.configuration, settings.region) : [];
		const latestContacts = new Map<string, PeerContact>();
		for (const contact of context.peers.contacts()) {
			const known = latestContacts.get(contact.slot);
			if (!known || contact.lastContactAt > known.lastContactAt) {
				latestContacts.set(contact.slot, contact);
			}
		}

		const oldestReachableAt = clock.now() - (current?.configuration.policy.leaseMilliseconds ?? 0);
		return [...new Set([...slots, ...latestContacts.keys()])].filter(slot => slot !== settings.slot).map(slot => {
			const contact = latestContacts.get(slot);
			return {
				slot,
				availabilityZone: contact?.availabilityZone,
				incarnation: contact?.incarnation,
				operatorAddress: contact?.addresses.operators,
				lastContactMillisecondsAgo: contact && Math.round(clock.now() - contact.lastContactAt),
				configurationVersion: contact?.configurationVersion,
				isReachable: contact !== undefined && contact.isConnected && !contact.hasLeft && contact.lastContactAt >= oldestReachableAt,
				isLeaving: contact?.isLeaving ?? false,
			};
		});
	}

	#tiers(): StatusReport['tiers'] {
		const {context, clock} = this.sources;
		const {waitingByTier, inFlightByTier} = this.sources.snapshot();
		const oldestEnqueuedAt = new Map<number, Milliseconds>();
		for (const item of context.queue.inOrder()) {
			if (item.kind === 'request') {
				oldestEnqueuedAt.set(item.tierRank, Math.min(oldestEnqueuedAt.get(item.tierRank) ?? Number.POSITIVE_INFINITY, item.enqueuedAt));
			}
		}

		return Object.entries(context.configuration()?.configuration.tiers ?? {})
			.map(([tier, {rank}]) => {
				const oldestAt = oldestEnqueuedAt.get(rank);
				return {
					tier,
					rank,
					waiting: waitingByTier[rank] ?? 0,
					running: inFlightByTier.get(tier) ?? 0,
					oldestWaitingMilliseconds: oldestAt === undefined ? undefined : Math.round(clock.now() - oldestAt),
				};
			})
			.toSorted((left, right) => left.rank - right.rank);
	}

	#endpoints(): StatusReport['endpoints'] {
		const {context} = this.sources;
		const unitCounts = new Map(context.ledger.snapshot().map(count => [count.endpoint, count]));
		return Object.entries(context.configuration()?.configuration.endpoints ?? {}).map(([endpoint, configured]) => {
			const unitCount = unitCounts.get(endpoint);
			return {
				endpoint,
				service: configured.service,
				address: configured.address,
				availabilityZone: configured.availabilityZone,
				isInService: context.directory.mayReceiveWork(endpoint),
				isLeaving: context.directory.isLeaving(endpoint),
				phase: context.phases.phase(endpoint),
				limit: context.phases.limit(endpoint),
				units: configured.limit.units,
				unitsInUse: (unitCount?.started ?? 0) + (unitCount?.reserved ?? 0),
			};
		});
	}
}
