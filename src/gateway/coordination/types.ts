import type {Milliseconds} from '../../shared/clock.js';
import type {AttemptOutcome} from '../scheduling/endpoint-load.js';
import type {SlotGroup} from '../scheduling/types.js';
import type {EndpointStart} from '../site/endpoint-start.js';

/** A request for a slot at any endpoint of a group. Times are relative, because the clocks of instances differ. */
export type SlotRequest = {
	readonly kind: 'slot-request';
	/** Identifies the request among those of its sender. A repeated request has the same. */
	readonly sequence: number;
	readonly group: SlotGroup;
	readonly tier: number;
	readonly workspace?: string;
	readonly workspaceWeight?: number;
	/** Time left until the target, the latest dispatch and the deadline. */
	readonly targetMs: Milliseconds;
	readonly latestDispatchMs: Milliseconds;
	readonly deadlineMs: Milliseconds;
	readonly promptTokens: number;
	readonly expectedEvents: number;
	/** Ids of endpoints that the sender can't use for the request. */
	readonly excluded: readonly string[];
	/** Whether the request must not wait for a slot. */
	readonly isImmediate: boolean;
};

export type SlotGrant = {
	readonly kind: 'slot-grant';
	readonly sequence: number;
	readonly start: EndpointStart;
	/** Slots of the group that are free after this grant. */
	readonly freeSlots: number;
};

export type SlotDenial = {
	readonly kind: 'slot-denied';
	readonly sequence: number;
	readonly expectedWaitMs: Milliseconds;
	readonly freeSlots: number;
};

/** Confirms that requests wait at the coordinator. */
export type SlotQueued = {
	readonly kind: 'slot-queued';
	readonly sequences: readonly number[];
	/** Whether these are all requests of the receiver that wait there. One that is missing was granted or denied, and the answer was lost. */
	readonly isComplete: boolean;
};

export type SlotWithdrawal = {
	readonly kind: 'slot-withdraw';
	readonly sequences: readonly number[];
};

/** The end of a granted request, with what was measured. */
export type SlotRelease = {
	readonly sequence: number;
	readonly outcome: AttemptOutcome;
	readonly firstEventMs?: Milliseconds;
	readonly eventIntervalMs?: Milliseconds;
	readonly durationMs?: Milliseconds;
	readonly promptTokens?: number;
};

export type SlotReleases = {
	readonly kind: 'slot-release';
	readonly releases: readonly SlotRelease[];
};

export type SlotRenewal = {
	readonly kind: 'slot-renew';
	readonly sequences: readonly number[];
};

/** Messages to a coordinator. */
export type CoordinatorMessage = SlotRequest | SlotWithdrawal | SlotReleases | SlotRenewal;

/** Messages of a coordinator. */
export type RequesterMessage = SlotGrant | SlotDenial | SlotQueued;

export type SlotMessage = CoordinatorMessage | RequesterMessage;

export type AddressedMessage<Message extends SlotMessage = SlotMessage> = {readonly host: string; readonly message: Message};
