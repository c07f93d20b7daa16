import * as z from 'zod';
import type {Clock, Milliseconds} from '../shared/clock.js';
import {
	type explainParameters, maximumParameterLength, type Explanation,
} from '../shared/explanation.js';
import type {Admission} from './callers/admission.js';
import type {ForwardTask} from './forwarding/forward-task.js';
import type {MonitoringResponse} from './observability/monitoring-server.js';
import {maximumWaitMs} from './scheduling/maximum-wait.js';
import type {ServiceSchedulers} from './scheduling/service-schedulers.js';
import type {WaitingRequest} from './scheduling/types.js';
import type {SiteState} from './site/site-state.js';
import {requestKinds, type Route, type Workspace} from './site/types.js';

const maximumTokens = 10_000_000;

/** Default prompt of a request that is asked about. */
const defaultPromptTokens = 1000;

const text = z.string().min(1).max(maximumParameterLength);

const questionSchema = z.strictObject({
	id: text.optional(),
	route: text.optional(),
	workspace: text.optional(),
	kind: z.enum(requestKinds).optional(),
	prompt: z.coerce.number().int().min(0).max(maximumTokens).default(defaultPromptTokens),
	output: z.coerce.number().int().min(0).max(maximumTokens).optional(),
	deadline: z.coerce.number().int().min(1).max(3_600_000).optional(),
} satisfies Record<(typeof explainParameters)[number], unknown>);

type Question = z.infer<typeof questionSchema>;

export type ExplainerOptions = {
	readonly clock: Clock;
	readonly site: SiteState;
	readonly admission: Pick<Admission, 'preview'>;
	readonly schedulers: Pick<ServiceSchedulers, 'get'>;
	readonly findTask: (requestId: string) => ForwardTask | undefined;
	/** Whether a planned stop allows new requests. */
	readonly acceptsRequests: () => boolean;
	/** Now, on the clock of the site state. */
	readonly freshnessNow: () => Milliseconds;
};

function failure(status: number, error: string): MonitoringResponse {
	return {status, contentType: 'application/json', body: JSON.stringify({error})};
}

function answer(explanation: Explanation): MonitoringResponse {
	return {status: 200, contentType: 'application/json', body: JSON.stringify(explanation)};
}

/** Answers where a request would go now and why, or where one that is open stands. Changes nothing. */
export class Explainer {
	static create(options: ExplainerOptions): Explainer {
		return new Explainer(options);
	}

	private constructor(private readonly options: ExplainerOptions) {}

	explain(parameters: URLSearchParams): MonitoringResponse {
		const parsed = questionSchema.safeParse(Object.fromEntries(parameters));
		if (!parsed.success) {
			return failure(400, parsed.error.issues.slice(0, 3).map(({path, message}) => `${path.join('.')}: ${message}`).join('; '));
		}

		const question = parsed.data;
		if ((question.id === undefined) === (question.route === undefined)) {
			return failure(400, 'either an id or a route is required');
		}

		return question.id === undefined ? this.#explainNew(question) : this.#explainOpen(question.id);
	}

	#explainOpen(id: string): MonitoringResponse {
		const task = this.options.findTask(id);
		return task === undefined ? failure(404, 'no open request has this id') : answer(task.explain());
	}

	#explainNew(question: Question): MonitoringResponse {
		const {site: {routes}} = this.options;
		if (routes === undefined) {
			return failure(503, 'the instance has no configuration yet');
		}

		const route = routes.configuration.routes.find(({name}) => name === question.route);
		if (route === undefined) {
			return failure(404, `unknown route; known are ${routes.configuration.routes.map(({name}) => name).join(', ')}`);
		}

		if (question.kind !== undefined && question.kind !== route.kind) {
			return failure(400, `requests of this route are of the kind ${route.kind}`);
		}

		const workspace = routes.configuration.workspaces?.find(({name}) => name === question.workspace);
		if (question.workspace !== undefined && workspace === undefined) {
			return failure(404, 'unknown workspace');
		}

		return answer(this.#explain(route, workspace, question));
	}

	#explain(route: Route, workspace: Workspace | undefined, question: Question): Explanation {
		const {admission, schedulers, acceptsRequests, freshnessNow, site} = this.options;
		const tier = workspace?.tier ?? route.tier;
		const waitingRequest = this.#createWaitingRequest(route, workspace, tier, question);
		const tokens = {prompt: question.prompt, output: question.output ?? 0};
		const refusal = acceptsRequests() ? admission.preview({route, workspace, tokens}, freshnessNow()) : {type: 'stopping', retryAfterMs: 0};
		const totalWeight = route.targets.reduce((sum, {weight}) => sum + weight, 0);
		return {
			route: route.name,
			kind: route.kind,
			workspace: workspace?.name,
			tier,
			services: route.targets.map(({service, weight}) => ({
				service,
				share: weight / totalWeight,
				inFlightAt: [],
				placement: site.routes?.service(service) === undefined ? undefined : schedulers.get(service)?.explain(waitingRequest),
			})),
			refusal: refusal && {reason: refusal.type, retryAfterMs: refusal.retryAfterMs},
		};
	}

	#createWaitingRequest(route: Route, workspace: Workspace | undefined, tier: number, {prompt, output, deadline}: Question): WaitingRequest {
		const now = this.options.clock.now();
		const remainingMs = Math.min(deadline ?? Infinity, route.timeoutMs);
		return {
			tier,
			targetAt: now + route.targetLatencyMs,
			latestDispatchAt: now + maximumWaitMs(route, remainingMs),
			deadlineAt: now + remainingMs,
			promptTokens: prompt,
			workspace: workspace?.name,
			workspaceWeight: workspace?.quota?.perSecond,
			expectedOutputTokens: output,
			excluded: new Set(),
			hasBegun: () => false,
			dispatch: () => undefined,
			refuse: () => undefined,
		};
	}
}
