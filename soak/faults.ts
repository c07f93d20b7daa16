import {readFile} from 'node:fs/promises';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {Milliseconds} from '../src/shared/clock.js';
import type {FaultProxy, ProxyFault} from '../standins/fault-proxy.js';
import {endpointFaults} from '../standins/platform-endpoint.js';
import type {RandomSource} from '../standins/random-source.js';
import {sendPatientRequests} from './callers.js';
import {bounds} from './checks.js';
import {lookupServices, type ConfigurationChange} from './configuration.js';
import {
	availabilityZones, engineService, slowService, type SoakEndpoint,
} from './endpoints.js';
import type {FaultPeriod} from './history.js';
import {seedCount, type Instance, type SoakSite} from './site.js';

/** Endpoints of a service that must remain while one of them is drained or restarts. */
const minimumRemainingEndpoints = 1;

/** Time after the restart of an instance in which its callers may still use connections that it has closed. */
const restartSettleMs: Milliseconds = 500;

/** Requests that fail at an endpoint for one injected fault. */
const requestFaultCount = 4;

const {cutStream, silentStream, unframed, ...commonFaults} = endpointFaults;
const streamFaults = [...Object.values(commonFaults), cutStream, silentStream];
const plainFaults = [...Object.values(commonFaults), unframed];

/** Maximum number of failing requests for each plain endpoint, and for how long they fail. Both exceed the retry budget. */
const failingRequestCount = 200;
const failureDurationMs: Milliseconds = 8000;

/** Long enough that the record of an endpoint that drains meanwhile is gone. */
const drainUnreadMs: Milliseconds = 8000;

/** Requests to the slow service as long as a stopping instance accepts connections: some more than can run until the end of the grace. */
const slowLoadDelayMs: Milliseconds = 1600;
const slowLoad = {count: 11, intervalMs: 120} as const;

/** Time after which the store names the new id of an endpoint. */
const untoldIdRange = {minimumMs: 50, maximumMs: 400} as const;

/** Percentage of endpoints whose connections are reset when they take a new id. */
const resetPercent = 30;

function pickConfigurationChange(random: RandomSource): ConfigurationChange {
	return {addedRoutes: random.pick([0, 300, 800])!, idleTimeoutMs: random.pick([300, 2000, 15_000])!};
}

type Fault = (site: SoakSite, random: RandomSource) => Promise<void>;

/** Records the period of a fault. */
async function recordFaultPeriod(site: SoakSite, values: Omit<FaultPeriod, 'at' | 'until'>, during: () => Promise<void>): Promise<void> {
	const period: FaultPeriod = {...values, at: performance.now(), until: Infinity};
	site.faultPeriods.push(period);
	await during();
	period.until = performance.now();
}

/** Reserves those instances that no other fault of a process uses, for as long as the fault lasts. */
async function withReservedInstances(instances: readonly Instance[], during: (instance: Instance) => Promise<void>): Promise<void> {
	const free = instances.filter(({isReserved}) => !isReserved);
	await Promise.all(free.map(async instance => {
		instance.isReserved = true;
		await during(instance);
		instance.isReserved = false;
	}));
}

async function killAndRestart(site: SoakSite, instance: Instance, downMs: Milliseconds): Promise<void> {
	await recordFaultPeriod(site, {kind: 'killed', instance: instance.host}, async () => {
		await instance.process.kill();
		await delay(downMs);
		await site.restartInstance(instance);
		await delay(restartSettleMs);
	});
}

/** Number of active faults for each proxy. */
const activeFaultCounts = new WeakMap<FaultProxy, number>();

/** Injects a fault into a proxy. When several overlap, the end of the last one clears them all. */
async function applyProxyFault(proxy: FaultProxy, fault: ProxyFault, durationMs: Milliseconds): Promise<void> {
	activeFaultCounts.set(proxy, (activeFaultCounts.get(proxy) ?? 0) + 1);
	proxy.setFault(fault);
	await delay(durationMs);
	const others = activeFaultCounts.get(proxy)! - 1;
	activeFaultCounts.set(proxy, others);
	if (others === 0) {
		proxy.clearFaults();
	}
}

async function applyStoreFault(site: SoakSite, instances: readonly Instance[], fault: ProxyFault, durationMs: Milliseconds): Promise<void> {
	await Promise.all(instances.map(async ({host, storeProxy}) => recordFaultPeriod(site, {kind: 'store', instance: host}, async () => applyProxyFault(storeProxy, fault, durationMs))));
}

/** Ranges of the injected delays. */
const delayRanges = {
	store: {minimumMs: 100, maximumMs: 700},
	endpoint: {minimumMs: 50, maximumMs: 500},
} as const;

function pickConnectionFault(random: RandomSource, {minimumMs, maximumMs}: {readonly minimumMs: number; readonly maximumMs: number}): ProxyFault {
	return random.pick<ProxyFault>([{resetsConnections: true}, {blackHole: 'both'}, {blackHole: 'backward'}, {delayMs: random.integer(minimumMs, maximumMs)}])!;
}

/** Whether a process has a handler for SIGHUP, which is the first bit of its caught signals. */
async function handlesHangUp(pid: number | undefined): Promise<boolean> {
	try {
		const status = await readFile(`/proc/${pid}/status`, 'utf8');
		return /^SigCgt:.*[13579bdf]$/mv.test(status);
	} catch {
		// The process has just ended.
		return false;
	}
}

/** Endpoints whose service has others when they are removed. */
function findRemovableEndpoints(site: SoakSite) {
	const countRemaining = (service: string) => site.endpoints.current.filter(other => other.service === service && !other.isBusy).length;
	return site.endpoints.current.filter(({service, isBusy, isTakingId}) => !isBusy && isTakingId !== true && countRemaining(service) > minimumRemainingEndpoints);
}

/** Endpoints whose id may change: the history records limits and faults of connections under one id. Requests to the slow service outlast the change. */
function findRenamableEndpoints(site: SoakSite): SoakEndpoint[] {
	return site.endpoints.current.filter(({service, isBusy, isTakingId, proxy, standIn}) => service !== slowService && !isBusy && isTakingId !== true
		&& !('server-limit' in standIn.statedHeaders) && (activeFaultCounts.get(proxy) ?? 0) === 0);
}

/** Gives new ids to endpoints. Their connections stay open, or are reset. */
async function changeIds(site: SoakSite, random: RandomSource, endpoints: readonly SoakEndpoint[]): Promise<void> {
	await recordFaultPeriod(site, {kind: 'endpoint-ids'}, async () => {
		await Promise.all(endpoints.map(async endpoint => {
			const told = site.endpoints.takeNewId(endpoint, random.integer(untoldIdRange.minimumMs, untoldIdRange.maximumMs));
			if (random.chance(resetPercent)) {
				endpoint.proxy.resetConnections();
			}

			await told;
		}));
	});
}

/** Lets endpoints refuse some requests and send late copies of all their refusals. */
async function copyRefusals(site: SoakSite, random: RandomSource, endpoints: readonly SoakEndpoint[], durationMs: Milliseconds): Promise<void> {
	await recordFaultPeriod(site, {kind: 'endpoint-answers'}, async () => {
		await Promise.all(endpoints.map(async ({standIn}) => {
			standIn.lateCopies.isEnabled = true;
			for (const until = performance.now() + durationMs; performance.now() < until;) {
				standIn.faults.push(endpointFaults.reject);
				// eslint-disable-next-line no-await-in-loop
				await delay(random.integer(50, 400));
			}

			// Refusals and copies that no request has met would be met outside of the recorded period.
			standIn.faults.length = 0;
			standIn.lateCopies.isEnabled = false;
		}));
	});
}

/** Planned changes, during which every caller must still get its response. */
export const plannedFaults = {
	async stop(site, random) {
		await withReservedInstances([random.pick(site.instances)!], async instance => site.stopAndRestartInstance(instance));
	},
	async hangUp(site, random) {
		const {host, process: child} = random.pick(site.instances)!;
		// No program can handle a signal before the runtime has started.
		if (await handlesHangUp(child.pid)) {
			site.hangUp({host, process: child});
		}
	},
	async stopTwice(site, random) {
		await withReservedInstances([random.pick(site.instances)!], async instance => site.stopAndRestartInstance(instance, async () => {
			await delay(random.integer(0, 3000));
			instance.process.signal('SIGTERM');
		}));
	},
	async stopBesideChanges(site, random) {
		await withReservedInstances([random.pick(site.instances)!], async instance => site.stopAndRestartInstance(instance, async () => {
			await delay(random.integer(0, 1500));
			site.hangUp(instance);
			await delay(random.integer(0, 1500));
			site.configuration.publish(pickConfigurationChange(random));
		}));
	},
	/** Requests still wait when the grace ends, because the endpoints work for seconds on others. */
	async stopBesideSlowService(site, random) {
		await withReservedInstances([random.pick(site.instances)!], async instance => site.stopAndRestartInstance(instance, async () => {
			await delay(slowLoadDelayMs);
			site.requests.push(...await sendPatientRequests({instance: instance.host, key: site.configuration.callerKeys()[0]!, ...slowLoad}));
		}));
	},
	async configureSeries(site, random) {
		for (let count = random.integer(4, 10); count > 0; count--) {
			site.configuration.publish(pickConfigurationChange(random));
			// eslint-disable-next-line no-await-in-loop
			await delay(random.integer(50, 1300));
		}

		site.configuration.publish();
	},
	/** A sound endpoint may pause for a second or two. */
	async silence(site, random) {
		await applyProxyFault(random.pick(site.endpoints.current)!.proxy, {blackHole: 'backward'}, random.integer(1000, 1900));
	},
	async moveLookups(site) {
		site.configuration.moveLookups();
	},
	async revokeKey(site) {
		site.configuration.revokeKey();
	},
	async configureTwice(site) {
		site.configuration.publish();
		site.configuration.publish();
	},
	async drain(site, random) {
		const endpoint = random.pick(findRemovableEndpoints(site));
		if (endpoint !== undefined) {
			await site.endpoints.drain(endpoint);
		}
	},
	async nameLimit(site, random) {
		const endpoint = random.pick(findRemovableEndpoints(site).filter(({standIn}) => !('server-limit' in standIn.statedHeaders)));
		if (endpoint !== undefined) {
			await site.endpoints.limit(endpoint, random.integer(0, 80) / 10, random.integer(6000, 12_000));
		}
	},
	async leaveByStatement(site, random) {
		const endpoint = random.pick(findRemovableEndpoints(site));
		if (endpoint !== undefined) {
			await site.endpoints.leaveByStatement(endpoint, random.integer(2000, 6000));
		}
	},
	async evacuate(site, random) {
		if (!site.events.some(event => event.kind === 'zone-evacuated' && event.until === Infinity)) {
			await site.evacuateZone(random.pick(availabilityZones)!, random.integer(4000, 9000));
		}
	},
} as const satisfies Record<string, Fault>;

/** Unplanned faults of processes, connections and endpoints. */
export const unplannedFaults = {
	async kill(site, random) {
		const downMs = random.integer(0, 1500);
		await withReservedInstances([random.pick(site.instances)!], async instance => killAndRestart(site, instance, downMs));
	},
	async killAll(site, random) {
		if (random.chance(30)) {
			await withReservedInstances(site.instances, async instance => killAndRestart(site, instance, 200));
		}
	},
	async freeze(site, random) {
		const durationMs = random.integer(300, 6000);
		await withReservedInstances([random.pick(site.instances)!], async instance => recordFaultPeriod(site, {kind: 'frozen', instance: instance.host}, async () => {
			instance.process.suspend();
			await delay(durationMs);
			instance.process.resume();
		}));
	},
	async storeOfOne(site, random) {
		await applyStoreFault(site, [random.pick(site.instances)!], pickConnectionFault(random, delayRanges.store), random.integer(500, 8000));
	},
	async storeOfAll(site, random) {
		await applyStoreFault(site, site.instances, pickConnectionFault(random, delayRanges.store), random.integer(500, 5000));
	},
	/** One of the instances that others ask when they start keeps running, because nobody else remembers what the restore has lost. */
	async restoreStore(site, random) {
		const [copyAgeMs, downMs, operatorDelayMs] = [random.integer(500, 5000), random.integer(0, 700), random.integer(500, 6000)];
		const witness = random.pick(site.instances.slice(0, seedCount))!;
		if (!site.isStoreRestoring) {
			await withReservedInstances([witness], async () => site.restoreStore(copyAgeMs, downMs, operatorDelayMs));
		}
	},
	/** An instance that can't read the store must not serve a key that is revoked in the meantime. */
	async revocationUnread(site, random) {
		const outage = applyStoreFault(site, [random.pick(site.instances)!], pickConnectionFault(random, delayRanges.store), bounds.revocationMs + 4000);
		await delay(500);
		site.configuration.revokeKey();
		await outage;
	},
	/** An instance that could not read the store while an endpoint left must not use it later; the endpoint still serves then. */
	async drainUnread(site, random) {
		const endpoint = random.pick(findRemovableEndpoints(site));
		if (endpoint !== undefined) {
			const outage = applyStoreFault(site, [random.pick(site.instances)!], pickConnectionFault(random, delayRanges.store), drainUnreadMs);
			await delay(500);
			await Promise.all([site.endpoints.drain(endpoint, drainUnreadMs + bounds.contactLossMs), outage]);
		}
	},
	/** All lookups fail, so that each of them could be retried. */
	async failingLookups(site) {
		await recordFaultPeriod(site, {kind: 'endpoint-answers'}, async () => {
			for (const {standIn} of site.endpoints.current.filter(({service}) => service !== engineService)) {
				standIn.faults.push(...Array.from({length: failingRequestCount}, () => endpointFaults.error));
			}

			await delay(failureDurationMs);
			for (const {standIn} of site.endpoints.current) {
				standIn.faults.length = 0;
			}
		});
	},
	async endpointConnections(site, random) {
		const {id, proxy} = random.pick(site.endpoints.current.filter(({isTakingId}) => isTakingId !== true))!;
		const fault = pickConnectionFault(random, delayRanges.endpoint);
		await recordFaultPeriod(site, {kind: 'endpoint-connections', endpoint: id}, async () => applyProxyFault(proxy, fault, random.integer(200, 2500)));
	},
	async resetEndpointConnections(site, random) {
		await recordFaultPeriod(site, {kind: 'endpoint-resets'}, async () => {
			random.pick(site.endpoints.current)!.proxy.resetConnections();
		});
	},
	async endpointAnswers(site, random) {
		await recordFaultPeriod(site, {kind: 'endpoint-answers'}, async () => {
			const {standIn, service} = random.pick(site.endpoints.current)!;
			for (let count = 0; count < requestFaultCount; count++) {
				standIn.faults.push(random.pick(service === engineService ? streamFaults : plainFaults)!);
			}

			await delay(1000);
			// Faults that no request has met would be met outside of the recorded period.
			standIn.faults.length = 0;
		});
	},
	/** An endpoint turns requests away and names a time after which it takes others. */
	async askToWait(site, random) {
		const {standIn} = random.pick(site.endpoints.current)!;
		standIn.rejectionHeaders = {'retry-after': String(random.integer(5, 50) / 10)};
		for (let count = 0; count < requestFaultCount; count++) {
			standIn.faults.push(endpointFaults.reject);
			// eslint-disable-next-line no-await-in-loop
			await delay(random.integer(50, 1000));
		}

		// Rejections that no request has met would be met outside of a recorded period.
		standIn.faults.length = 0;
	},
	async copiesOfRefusals(site, random) {
		await copyRefusals(site, random, [random.pick(site.endpoints.current)!], random.integer(1000, 3000));
	},
	async newId(site, random) {
		const endpoint = random.pick(findRenamableEndpoints(site));
		if (endpoint !== undefined) {
			await changeIds(site, random, [endpoint]);
		}
	},
	/** All endpoints of a service take new ids again and again while they copy refusals, so that refused requests wait for the records. */
	async newIdsAmongCopies(site, random) {
		const service = random.pick([engineService, ...lookupServices])!;
		const durationMs = random.integer(2000, 5000);
		const copying = copyRefusals(site, random, site.endpoints.current.filter(endpoint => endpoint.service === service), durationMs);
		for (const until = performance.now() + durationMs; performance.now() < until;) {
			// eslint-disable-next-line no-await-in-loop
			await changeIds(site, random, findRenamableEndpoints(site).filter(endpoint => endpoint.service === service));
			// eslint-disable-next-line no-await-in-loop
			await delay(random.integer(100, 1000));
		}

		await copying;
	},
	/** Engines crash one after the other under requests with one part in their prompts. */
	async crashingPart(site, random) {
		const part = site.prompts.startCrashingPart();
		await delay(random.integer(9000, 16_000));
		site.prompts.endCrashingPart(part);
	},
	async restartEndpoint(site, random) {
		const endpoint = random.pick(findRemovableEndpoints(site));
		if (endpoint !== undefined) {
			await recordFaultPeriod(site, {kind: 'endpoint-restart'}, async () => site.endpoints.restart(endpoint, random.integer(0, 2000)));
		}
	},
} as const satisfies Record<string, Fault>;
