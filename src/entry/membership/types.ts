/** Types that the membership module shares with other modules. */
import type {Milliseconds} from '../../shared/clock.js';
import type {Mailbox} from '../../shared/message-loop.js';
import type {ConfigurationDocument} from '../configuration/configuration-in-force.js';
import type {HelloMessage, PeerMessage} from './messages.js';
import type {EntryIdentity, LeaseGroup} from './slot-lease.js';

/** A message of a peer that another task handles. */
export type PeerMessageReceived = {
	readonly kind: 'peer-message';
	readonly from: EntryIdentity;
	readonly message: PeerMessage;
};

/** A connection to a peer was established. Messages to it may have been lost with the previous connection. */
export type PeerConnected = {
	readonly kind: 'peer-connected';
	readonly from: EntryIdentity;
};

/** The lease of this entry was gained, lost, regained with a new tenure, or taken by another incarnation. */
export type LeaseChanged = {
	readonly kind: 'lease-changed';
	readonly isHeld: boolean;
	/** End of the lease on the monotonic clock; undefined when it is not held. */
	readonly heldUntil: Milliseconds | undefined;
	/** Start of the current tenure; undefined before the first one. */
	readonly firstHeldAt: Milliseconds | undefined;
	readonly predecessorLeftCleanly: boolean;
	readonly isSuperseded: boolean;
};

export type MembershipMessage = PeerMessageReceived | PeerConnected | LeaseChanged;

export type MembershipMailbox = Mailbox<MembershipMessage>;

/** The lease group with its heartbeat interval. */
export type PeerGroup = LeaseGroup & {
	readonly heartbeatMilliseconds: Milliseconds;
	readonly configurationVersion: number;
};

/** Source of the document for `configuration-request`. `ConfigurationInForce` has this shape. */
export type ConfigurationSource = {
	current(): ConfigurationDocument | undefined;
};

/** What is known about another entry process. */
export type PeerContact = EntryIdentity & {
	readonly region: string;
	readonly availabilityZone: string;
	readonly addresses: HelloMessage['addresses'];
	readonly isConnected: boolean;
	/** When the last message arrived, on the monotonic clock. */
	readonly lastContactAt: Milliseconds;
	/** From the last heartbeat or heartbeat reply; undefined before the first. */
	readonly configurationVersion: number | undefined;
	readonly configurationDigest: string | undefined;
	readonly isLeaving: boolean;
	/** Whether the process has sent a goodbye. */
	readonly hasLeft: boolean;
};

/** Events of the membership module, counted by name. */
export type MembershipEvent
	= | 'peer-connected'
		| 'peer-disconnected'
		| 'peer-connection-failed'
		| 'peer-message-malformed'
		| 'peer-message-unknown-kind'
		| 'peer-connection-closed-malformed'
		| 'peer-send-buffer-full'
		| 'peer-silent'
		| 'peer-protocol-mismatch'
		| 'peer-same-slot'
		| 'peer-connections-exhausted'
		| 'peer-configuration-conflict'
		| 'lease-gained'
		| 'lease-lost'
		| 'lease-superseded';
