/** Waits until a fleet serves requests: an entry that is ready has no units of its own until its quarantine has ended. */
import {z} from 'zod';
import {waitFor} from './deadline.js';
import type {Deployment} from './deployment.js';
import type {Fleet} from './fleet.js';

/** The fields of a base document that name the services for callers. */
const baseSchema = z.looseObject({
	services: z.record(z.string(), z.looseObject({
		kind: z.enum(['engine', 'plain']),
		models: z.array(z.string()).optional(),
		operations: z.array(z.looseObject({method: z.string(), pathPrefix: z.string()})).optional(),
	})),
});

/** Services of a deployment, and a workspace that may use them. */
export type AvailableServices = {
	readonly model: string;
	readonly plainService: string;
	/** Path segment of the plain service's collection. */
	readonly collection: string;
	/** Any workspace that may use the highest tier. */
	readonly workspace: string;
};

/** Reads the services of a deployment for its callers. @throws {Error} when a kind of service is missing */
export function availableServicesOf({base, overlay}: Deployment): AvailableServices {
	const services = Object.entries(baseSchema.parse(base).services);
	const model = services.find(([, {kind}]) => kind === 'engine')?.[1].models?.[0];
	const plain = services.find(([, {kind}]) => kind === 'plain');
	const collection = plain?.[1].operations?.[0]?.pathPrefix.slice(1);
	const workspace = Object.keys(overlay.workspaces as Record<string, unknown>)[0];
	if (model === undefined || plain === undefined || collection === undefined || workspace === undefined) {
		throw new Error('the deployment needs an engine service, a plain service and a workspace');
	}

	return {
		model, plainService: plain[0], collection, workspace,
	};
}

async function post(url: string, workspace: string, body: unknown): Promise<boolean> {
	const response = await fetch(url, {
		method: 'POST', headers: {'content-type': 'application/json', 'x-workspace': workspace}, body: JSON.stringify(body),
	});
	await response.text();
	return response.ok;
}

/** Longest time for the quarantines of a fleet to end. */
const servingTimeoutMs = 40_000;

/** Waits until a request of each kind has been completed through each running entry. @throws {DeadlineError} */
export async function waitUntilServing(fleet: Fleet, timeoutMs = servingTimeoutMs): Promise<void> {
	const {model, plainService, collection, workspace} = availableServicesOf(fleet.deployment);
	const targets = [...fleet.entries.values()].filter(({isRunning}) => isRunning).map(({callersUrl}) => callersUrl);
	const chat = {model, max_tokens: 5, messages: [{role: 'user', content: 'Summarise the case file.'}]}; // eslint-disable-line @typescript-eslint/naming-convention
	await Promise.all(targets.map(async target => {
		await waitFor(
			async () => post(`${target}/v1/chat/completions`, workspace, chat),
			{what: `${target} serves ${model}`, timeoutMs},
		);
		await waitFor(
			async () => post(`${target}/v1/services/${plainService}/${collection}`, workspace, {claimant: 'A 1042'}),
			{what: `${target} serves ${plainService}`, timeoutMs},
		);
	}));
}
