import type {Milliseconds} from '../../shared/clock.js';
import type {CurrentConfiguration} from '../configuration/configuration-in-force.js';
import type {DispatchResult, EndpointSymptom} from '../dispatch/types.js';
import type {EndpointLoad} from '../limits/types.js';
import type {MembershipMessage} from '../membership/types.js';
import type {Submission} from '../requests/types.js';
import type {CacheEvent} from '../routing/index.js';

/** The messages that other tasks post to the scheduler. */
export type SchedulerMessage
	= | MembershipMessage
		| {readonly kind: 'submit'; readonly submission: Submission}
		| {readonly kind: 'caller-gone'; readonly requestId: string}
		| {readonly kind: 'configuration-changed'; readonly current: CurrentConfiguration}
		| {readonly kind: 'leaving-changed'; readonly leavingEndpoints: ReadonlySet<string>}
		| {readonly kind: 'endpoint-symptom'; readonly requestId: string; readonly symptom: EndpointSymptom}
		| {readonly kind: 'dispatch-ended'; readonly requestId: string; readonly result: DispatchResult}
		| {readonly kind: 'load-report'; readonly endpoint: string; readonly report: EndpointLoad; readonly takenAt: Milliseconds}
		| {readonly kind: 'cache-events'; readonly endpoint: string; readonly events: readonly CacheEvent[]}
		| {readonly kind: 'tick'}
		| {readonly kind: 'shutdown'};
