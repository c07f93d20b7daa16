/** The deployments of examples/, scaled to stand-ins on one machine. */
import {readFileSync} from 'node:fs';
import type {EngineOptions} from '../engine-settings.js';
import type {PlainServiceOptions} from '../plain-service.js';
import type {Deployment, Document, SiteOverlay} from './deployment.js';

export type ExampleSite = 'clachan' | 'karoo';

export type ExampleDeploymentOptions = {
	/** Number of entry slots. Default: all of the example. */
	readonly entries?: number;
	/** Divisor of the limits of engines, which stay at least 1 unit. Default: 4. */
	readonly engineUnitsDivisor?: number;
	/** Upper bound of the queue timeouts, so that a run ends in bounded time. Default: that of the example. */
	readonly maximumQueueTimeoutMs?: number;
	/** Request timeout of all engines. Default: that of the example. */
	readonly requestTimeoutMilliseconds?: number;
};

type Tier = {readonly queueTimeoutMilliseconds: number};
type Service = {readonly kind: 'engine' | 'plain'; readonly operations?: ReadonlyArray<{readonly method: string; readonly pathPrefix: string}>};
type Limit = {readonly units: number; readonly coldUnits: number};
type Endpoint = SiteOverlay['endpoints'][string] & {
	readonly service: string;
	readonly hardware: string;
	readonly limit: Limit;
	readonly requestTimeoutMilliseconds?: number;
	readonly checksFencing?: boolean;
};
type ExampleBase = Document & {
	readonly tiers: Readonly<Record<string, Tier>>;
	readonly services: Readonly<Record<string, Service>>;
};
type ExampleOverlay = SiteOverlay & {readonly endpoints: Readonly<Record<string, Endpoint>>};

// From dist/standins/fleet to the root of the package.
const examplesDirectory = new URL('../../../examples/', import.meta.url);

/** Speeds of the hardware generations in the examples, in tokens per second. */
const speedsByHardware: Readonly<Record<string, Pick<EngineOptions, 'prefillTokensPerSecond' | 'decodeTokensPerSecond'>>> = {
	'accelerator-large': {prefillTokensPerSecond: 20_000, decodeTokensPerSecond: 240},
	'accelerator-medium': {prefillTokensPerSecond: 12_000, decodeTokensPerSecond: 160},
	'accelerator-small': {prefillTokensPerSecond: 6000, decodeTokensPerSecond: 80},
};

function readExample(site: ExampleSite, file: string): Document {
	return JSON.parse(readFileSync(new URL(`${site}/${file}.json`, examplesDirectory), 'utf8')) as Document;
}

function mapValues<Value, Result>(record: Readonly<Record<string, Value>>, map: (value: Value) => Result): Record<string, Result> {
	return Object.fromEntries(Object.entries(record).map(([name, value]) => [name, map(value)]));
}

function scaleLimit(limit: Limit, divisor: number): Limit {
	return {
		...limit,
		units: Math.max(1, Math.round(limit.units / divisor)),
		coldUnits: Math.max(1, Math.round(limit.coldUnits / divisor)),
	};
}

function isEngine(base: ExampleBase, endpoint: Endpoint): boolean {
	return base.services[endpoint.service]?.kind === 'engine';
}

function scaleBase(base: ExampleBase, {maximumQueueTimeoutMs = Number.POSITIVE_INFINITY}: ExampleDeploymentOptions): ExampleBase {
	const tiers = mapValues(base.tiers, tier => ({
		...tier, queueTimeoutMilliseconds: Math.min(tier.queueTimeoutMilliseconds, maximumQueueTimeoutMs),
	}));
	return {...base, tiers};
}

function scaleOverlay(base: ExampleBase, overlay: ExampleOverlay, options: ExampleDeploymentOptions): ExampleOverlay {
	const {entries, engineUnitsDivisor = 4, requestTimeoutMilliseconds} = options;
	const endpoints = mapValues(overlay.endpoints, endpoint => isEngine(base, endpoint)
		? {
			...endpoint,
			limit: scaleLimit(endpoint.limit, engineUnitsDivisor),
			requestTimeoutMilliseconds: requestTimeoutMilliseconds ?? endpoint.requestTimeoutMilliseconds,
		}
		: endpoint);
	return {...overlay, endpoints, entrySlots: Object.fromEntries(Object.entries(overlay.entrySlots).slice(0, entries))};
}

function engineSettings({hardware, limit, checksFencing}: Endpoint): Omit<EngineOptions, 'name'> {
	return {
		...speedsByHardware[hardware], units: limit.units, coldUnits: limit.coldUnits, checksFencing,
	};
}

/** The collection that callers write to: the first non-idempotent operation. */
function collectionOf(base: ExampleBase, service: string): string {
	const operation = base.services[service]?.operations?.find(({method}) => method === 'POST');
	return operation?.pathPrefix.slice(1) ?? 'bookings';
}

function plainServiceSettings(base: ExampleBase, {service, limit}: Endpoint): Omit<PlainServiceOptions, 'name'> {
	return {units: limit.units, coldUnits: limit.coldUnits, collection: collectionOf(base, service)};
}

/** Reads an example and scales it. */
export function readExampleDeployment(site: ExampleSite, options: ExampleDeploymentOptions = {}): Deployment {
	const base = scaleBase(readExample(site, 'base') as ExampleBase, options);
	const overlay = scaleOverlay(base, readExample(site, 'overlay') as ExampleOverlay, options);
	const endpoints = Object.entries(overlay.endpoints);
	const engines = endpoints.filter(([, endpoint]) => isEngine(base, endpoint));
	const plainServices = endpoints.filter(([, endpoint]) => !isEngine(base, endpoint));
	return {
		site,
		base,
		overlay,
		engines: Object.fromEntries(engines.map(([name, endpoint]) => [name, engineSettings(endpoint)])),
		plainServices: Object.fromEntries(plainServices.map(([name, endpoint]) => [name, plainServiceSettings(base, endpoint)])),
	};
}
