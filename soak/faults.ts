import {readFile} from 'node:fs/promises';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {Milliseconds} from '../src/shared/clock.js';
import type {FaultProxy, ProxyFault} from '../standins/fault-proxy.js';
import {endpointFaults} from '../standins/platform-endpoint.js';
import type {RandomSource} from '../standins/random-source.js';
import type {Disturbance} from './history.js';
import {bounds} from './checks.js';
import {
	availabilityZones, engineService, type Instance, type SoakSite,
} from './site.js';

/** Endpoints of a service that must stay while one of them leaves or restarts. */
const remainingEndpoints = 1;

/** Time after the restart of an instance in which its callers may still meet its closed connections. */
const settleMs: Milliseconds = 500;

/** Faults of single requests that an endpoint plays at once. */
const requestFaults = 4;

const {cutStream, silentStream, unframed, ...faultsOfBoth} = endpointFaults;
const streamFaults = [...Object.values(faultsOfBoth), cutStream, silentStream];
const plainFaults = [...Object.values(faultsOfBoth), unframed];

/** Requests that fail at each plain endpoint at most, and for how long; both exceed the budget of repeats. */
const failingRequests = 200;
const failingForMs: Milliseconds = 8000;

type Fault = (site: SoakSite, random: RandomSource) => Promise<void>;

/** Notes a fault for as long as it lasts. */
async function disturb(site: SoakSite, values: Omit<Disturbance, 'at' | 'until'>, during: () => Promise<void>): Promise<void> {
	const disturbance: Disturbance = {...values, at: performance.now(), until: Infinity};
	site.disturbances.push(disturbance);
	await during();
	disturbance.until = performance.now();
}

/** Holds some free instances for a fault of their processes. */
async function holding(instances: readonly Instance[], during: (instance: Instance) => Promise<void>): Promise<void> {
	const free = instances.filter(({isHeld}) => !isHeld);
	await Promise.all(free.map(async instance => {
		instance.isHeld = true;
		await during(instance);
		instance.isHeld = false;
	}));
}

async function killAndStart(site: SoakSite, instance: Instance, downMs: Milliseconds): Promise<void> {
	await disturb(site, {kind: 'killed', instance: instance.host}, async () => {
		await instance.process.kill();
		await delay(downMs);
		await site.startAgain(instance);
		await delay(settleMs);
	});
}

/** Faults that are played at each proxy at present. */
const playedFaults = new WeakMap<FaultProxy, number>();

/** Plays a fault at a proxy. Of several that overlap, the last one that ends lets everything pass. */
async function playAt(proxy: FaultProxy, fault: ProxyFault, durationMs: Milliseconds): Promise<void> {
	playedFaults.set(proxy, (playedFaults.get(proxy) ?? 0) + 1);
	proxy.setFault(fault);
	await delay(durationMs);
	const others = playedFaults.get(proxy)! - 1;
	playedFaults.set(proxy, others);
	if (others === 0) {
		proxy.clearFaults();
	}
}

async function faultOfStore(site: SoakSite, instances: readonly Instance[], fault: ProxyFault, durationMs: Milliseconds): Promise<void> {
	await Promise.all(instances.map(async ({host, storeProxy}) => disturb(site, {kind: 'store', instance: host}, async () => playAt(storeProxy, fault, durationMs))));
}

/** Bounds of a fault's delay, in milliseconds. */
const delays = {
	store: {least: 100, most: 700},
	endpoint: {least: 50, most: 500},
} as const;

function connectionFault(random: RandomSource, {least, most}: {readonly least: number; readonly most: number}): ProxyFault {
	return random.pick<ProxyFault>([{resetsConnections: true}, {blackHole: 'both'}, {blackHole: 'backward'}, {delayMs: random.integer(least, most)}])!;
}

/** Whether a process has a handler for SIGHUP, which is the first bit of its caught signals. */
async function catchesHangUp(pid: number | undefined): Promise<boolean> {
	try {
		const status = await readFile(`/proc/${pid}/status`, 'utf8');
		return /^SigCgt:.*[13579bdf]$/mv.test(status);
	} catch {
		// It has just ended.
		return false;
	}
}

/** Endpoints that may be taken away without leaving their service empty. */
function spareEndpoints(site: SoakSite) {
	return site.endpoints.filter(({service, isBusy}) => !isBusy && site.endpoints.filter(other => other.service === service && !other.isBusy).length > remainingEndpoints);
}

/** Planned work: it may not cost any caller an answer. */
export const plannedFaults = {
	async stop(site, random) {
		await holding([random.pick(site.instances)!], async instance => site.stopAndStart(instance));
	},
	async hangUp(site, random) {
		const {process: child} = random.pick(site.instances)!;
		// Before the runtime itself has started no program can handle a signal.
		if (await catchesHangUp(child.pid)) {
			child.signal('SIGHUP');
		}
	},
	async moveLookups(site) {
		site.moveLookups();
	},
	async revokeKey(site) {
		site.revokeKey();
	},
	async configureTwice(site) {
		site.configure();
		site.configure();
	},
	async drain(site, random) {
		const slot = random.pick(spareEndpoints(site));
		if (slot !== undefined) {
			await site.drain(slot);
		}
	},
	async evacuate(site, random) {
		if (!site.events.some(event => event.kind === 'zone-evacuated' && event.until === Infinity)) {
			await site.evacuate(random.pick(availabilityZones)!, random.integer(4000, 9000));
		}
	},
} as const satisfies Record<string, Fault>;

/** Unplanned faults of processes, connections and endpoints. */
export const unplannedFaults = {
	async kill(site, random) {
		const downMs = random.integer(0, 1500);
		await holding([random.pick(site.instances)!], async instance => killAndStart(site, instance, downMs));
	},
	async killAll(site, random) {
		if (random.chance(30)) {
			await holding(site.instances, async instance => killAndStart(site, instance, 200));
		}
	},
	async freeze(site, random) {
		const durationMs = random.integer(300, 6000);
		await holding([random.pick(site.instances)!], async instance => disturb(site, {kind: 'frozen', instance: instance.host}, async () => {
			instance.process.suspend();
			await delay(durationMs);
			instance.process.resume();
		}));
	},
	async storeOfOne(site, random) {
		await faultOfStore(site, [random.pick(site.instances)!], connectionFault(random, delays.store), random.integer(500, 8000));
	},
	async storeOfAll(site, random) {
		await faultOfStore(site, site.instances, connectionFault(random, delays.store), random.integer(500, 5000));
	},
	/** An instance that can't read the store must not serve a key that is revoked meanwhile. */
	async revocationUnread(site, random) {
		const outage = faultOfStore(site, [random.pick(site.instances)!], connectionFault(random, delays.store), bounds.revocationMs + 4000);
		await delay(500);
		site.revokeKey();
		await outage;
	},
	/** All lookups fail, so that each is worth a repeat. */
	async failingLookups(site) {
		await disturb(site, {kind: 'endpoint-answers'}, async () => {
			for (const {endpoint} of site.endpoints.filter(({service}) => service !== engineService)) {
				endpoint.faults.push(...Array.from({length: failingRequests}, () => endpointFaults.error));
			}

			await delay(failingForMs);
			for (const {endpoint} of site.endpoints) {
				endpoint.faults.length = 0;
			}
		});
	},
	async endpointConnections(site, random) {
		const {proxy} = random.pick(site.endpoints)!;
		const fault = connectionFault(random, delays.endpoint);
		await disturb(site, {kind: 'endpoint-connections'}, async () => playAt(proxy, fault, random.integer(200, 2500)));
	},
	async resetEndpointConnections(site, random) {
		await disturb(site, {kind: 'endpoint-resets'}, async () => {
			random.pick(site.endpoints)!.proxy.resetConnections();
		});
	},
	async endpointAnswers(site, random) {
		await disturb(site, {kind: 'endpoint-answers'}, async () => {
			const {endpoint, service} = random.pick(site.endpoints)!;
			for (let count = 0; count < requestFaults; count++) {
				endpoint.faults.push(random.pick(service === engineService ? streamFaults : plainFaults)!);
			}

			await delay(1000);
		});
	},
	async restartEndpoint(site, random) {
		const slot = random.pick(spareEndpoints(site));
		if (slot !== undefined) {
			await disturb(site, {kind: 'endpoint-restart'}, async () => site.restart(slot, random.integer(0, 2000)));
		}
	},
} as const satisfies Record<string, Fault>;
