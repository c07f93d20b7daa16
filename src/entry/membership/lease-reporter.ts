/** Posts, counts and logs changes of this entry's lease. */
import type {Logger} from '../../shared/log.js';
import type {SlotLease} from './slot-lease.js';
import type {LeaseChanged, MembershipEvent, MembershipMailbox} from './types.js';

export type LeaseReporterOptions = {
	readonly lease: SlotLease;
	readonly logger: Logger;
	readonly mailbox: MembershipMailbox;
	readonly countEvent: (event: MembershipEvent) => void;
};

export class LeaseReporter {
	static create(options: LeaseReporterOptions): LeaseReporter {
		return new LeaseReporter(options);
	}

	#lastReported: LeaseChanged;

	private constructor(private readonly options: LeaseReporterOptions) {
		this.#lastReported = this.#currentState();
	}

	/** Reports the lease when it was gained, lost, regained with a new tenure or superseded since the last call. */
	reportChange(): void {
		const previous = this.#lastReported;
		const lease = this.#currentState();
		this.#lastReported = lease;
		if (previous.isHeld === lease.isHeld && previous.firstHeldAt === lease.firstHeldAt && previous.isSuperseded === lease.isSuperseded) {
			return;
		}

		this.#countChange(previous, lease);
		const {isHeld, isSuperseded, predecessorLeftCleanly} = lease;
		this.options.logger.info({isHeld, isSuperseded, predecessorLeftCleanly}, lease.kind);
		this.options.mailbox.post(lease);
	}

	#currentState(): LeaseChanged {
		const {lease} = this.options;
		const heldUntil = lease.heldUntil();
		return {
			kind: 'lease-changed',
			isHeld: heldUntil !== undefined,
			heldUntil,
			firstHeldAt: lease.firstHeldAt,
			predecessorLeftCleanly: lease.predecessorLeftCleanly,
			isSuperseded: lease.isSuperseded(),
		};
	}

	#countChange(previous: LeaseChanged, lease: LeaseChanged): void {
		if (lease.isSuperseded && !previous.isSuperseded) {
			this.options.countEvent('lease-superseded');
		}

		if (lease.isHeld !== previous.isHeld) {
			this.options.countEvent(lease.isHeld ? 'lease-gained' : 'lease-lost');
		}
	}
}
