/** Configuration documents of any size, with the proportions of the target size. */
import type {Deployment} from '../../standins/fleet/index.js';

export type DocumentSize = {
	readonly entries: number;
	readonly endpoints: number;
	readonly workspaces: number;
	/** Default: 7. */
	readonly services?: number;
	/** Default: 1, so that all entries share one lease group. Each has 4 availability zones. */
	readonly regions?: number;
	/** Plain services are not polled, so their number is measured without the polls of engines. Default: `plain`. */
	readonly kind?: 'plain' | 'engine';
	/** Default: {@link unitsPerEndpoint}. */
	readonly units?: number;
};

/** The size that the design page names in section 1.5. */
export const targetSize = {
	entries: 400, endpoints: 850, workspaces: 1100, services: 7, regions: 2,
} as const satisfies DocumentSize;

/**
Units of one endpoint.

At the target's peak 5,400 requests arrive each second. Each has 204 output tokens and takes 1.7 s plus 203 times 29 ms, which gives 41,000 requests in flight, or 48 for each of 850 workers. The value adds a third as headroom.
*/
export const unitsPerEndpoint = 64;

/** Short, so that quarantines end within seconds. */
const requestTimeoutMilliseconds = 1000;

const tierNames = ['urgent', 'interactive', 'standard', 'batch', 'spare'];
const zonesPerRegion = 4;

function createNumbered<Value>(prefix: string, count: number, create: (index: number) => Value): Record<string, Value> {
	return Object.fromEntries(Array.from({length: count}, (_, index) => [`${prefix}-${index + 1}`, create(index)]));
}

/** An address that nothing listens on; the ports differ, because no two endpoints may have the same address. */
function unusedAddress(index: number): string {
	return `127.1.${Math.floor(index / 250)}.${(index % 250) + 1}:9`;
}

/** Endpoints have their full limit in every phase, because the cold limit equals the full limit. */
export function createDocuments({
	entries, endpoints, workspaces, services = 7, regions = 1, kind = 'plain', units = unitsPerEndpoint,
}: DocumentSize): Deployment {
	const zones = createNumbered('zone', regions * zonesPerRegion, index => ({region: `region-${(index % regions) + 1}`}));
	const zoneOf = (index: number) => `zone-${(index % (regions * zonesPerRegion)) + 1}`;
	const operations = [{method: 'POST', pathPrefix: '/orders', idempotent: false}, {method: 'GET', pathPrefix: '/orders', idempotent: true}];
	return {
		site: 'capacity',
		base: {
			tiers: Object.fromEntries(tierNames.map((tier, rank) => [tier, {
				rank, firstTokenMilliseconds: 1700, answerMilliseconds: 60_000, queueTimeoutMilliseconds: 120_000,
			}])),
			services: createNumbered('service', services, index => kind === 'plain' ? {kind, operations} : {kind, models: [`model-${index + 1}`]}),
			policy: {queuePlaces: 2000},
		},
		overlay: {
			site: 'capacity',
			regions: Object.keys(createNumbered('region', regions, () => undefined)),
			availabilityZones: zones,
			endpoints: createNumbered('worker', endpoints, index => ({
				service: `service-${(index % services) + 1}`,
				address: unusedAddress(index),
				availabilityZone: zoneOf(index),
				hardware: `generation-${(index % 3) + 1}`,
				limit: {units, coldUnits: units},
				requestTimeoutMilliseconds: kind === 'plain' ? requestTimeoutMilliseconds : 60_000,
			})),
			entrySlots: createNumbered('entry', entries, index => ({availabilityZone: zoneOf(index)})),
			workspaces: createNumbered('workspace', workspaces, index => ({
				highestTier: tierNames[index % 2], defaultTier: tierNames[2], weight: (index % 4) + 1, maximumWaiting: 2000,
			})),
		},
		engines: {},
		plainServices: {},
	};
}
