/** A deployment to run locally: its configuration documents and the settings of its stand-in endpoints. */
import type {EngineOptions} from '../engine-settings.js';
import type {PlainServiceOptions} from '../plain-service.js';

/** A JSON object. */
export type Document = Readonly<Record<string, unknown>>;

type EndpointDocument = Document & {
	/** Replaced by the fleet with the address of its stand-in. */
	readonly address?: string;
	readonly availabilityZone: string;
};

/** The fields of an overlay that the fleet reads. */
export type SiteOverlay = Document & {
	readonly availabilityZones: Readonly<Record<string, {readonly region: string; readonly state?: 'in' | 'out'}>>;
	readonly endpoints: Readonly<Record<string, EndpointDocument>>;
	readonly entrySlots: Readonly<Record<string, {readonly availabilityZone: string; readonly state?: 'in' | 'out'}>>;
};

export type Deployment = {
	readonly site: string;
	readonly base: Document;
	readonly overlay: SiteOverlay;
	/** Settings of the stand-in engines by endpoint name. */
	readonly engines: Readonly<Record<string, Omit<EngineOptions, 'name'>>>;
	/** Settings of the stand-in plain services by endpoint name. */
	readonly plainServices: Readonly<Record<string, Omit<PlainServiceOptions, 'name'>>>;
};
