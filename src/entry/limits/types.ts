import type {Milliseconds} from '../../shared/clock.js';

/** The limits of one endpoint in the configuration in force. */
export type EndpointLimit = {
	readonly endpoint: string;
	/** Units that may be in use at once while the endpoint is warm. */
	readonly units: number;
	/** Units that may be in use at once while the endpoint is cold. */
	readonly coldUnits: number;
	/** Prompt and output tokens per unit. */
	readonly unitTokens: number;
	/** Maximum duration of a request at the endpoint. */
	readonly requestTimeoutMilliseconds: Milliseconds;
};

/** The slots, and the endpoints whose units are distributed among them. */
export type UnitLayout = {
	readonly version: number;
	readonly slots: readonly string[];
	readonly endpoints: readonly EndpointLimit[];
	readonly loanMilliseconds: Milliseconds;
	readonly leaseMilliseconds: Milliseconds;
};

/** Units of one endpoint that are reserved for one request until they are released. */
export type Reservation = {
	readonly reservationId: string;
	readonly requestId: string;
	readonly endpoint: string;
	readonly units: readonly number[];
};

/** Units that a lender lends to a borrower for a limited time. */
export type LoanGrant = {
	readonly loanId: string;
	readonly borrowId: string;
	readonly endpoint: string;
	readonly units: readonly number[];
};

/** A request to borrow units that another slot owns. */
export type BorrowRequest = {
	readonly borrowId: string;
	readonly endpoint: string;
	readonly units: number;
	readonly tierRank: number;
};

/** How much load an endpoint can handle at present. */
export const endpointPhases = {
	cold: 'cold',
	warming: 'warming',
	warm: 'warm',
} as const;

export type EndpointPhase = (typeof endpointPhases)[keyof typeof endpointPhases];

/** The phase of an endpoint as one entry reports it to its peers. */
export type EndpointPhaseMessage = {
	readonly kind: 'endpoint-phase';
	readonly endpoint: string;
	/** The message with the higher epoch takes precedence; if the epochs are equal, the one with the colder phase. */
	readonly epoch: number;
	readonly phase: EndpointPhase;
	/** Units that may be in use during the phase. */
	readonly limit: number;
	readonly reason: string;
};

/** A load report of an engine. */
export type EndpointLoad = {
	/** Changes when the engine restarts. */
	readonly startId: string;
	/** The phase that the engine reports; any value other than `cold` counts as not cold. */
	readonly phase: string;
	readonly running: number;
	readonly tokensInUse: number;
	/** Time since the engine created the report. */
	readonly ageMilliseconds: Milliseconds;
};

/** A message from a ledger to a slot that it borrows units from. */
export type LedgerMessage = {
	readonly to: string;
	readonly message:
		| {readonly kind: 'loan-renew'; readonly loanIds: readonly string[]}
		| {readonly kind: 'loan-return'; readonly loanId: string}
		| {readonly kind: 'borrow-cancel'; readonly borrowId: string};
};

/** A slot and the number of units of one endpoint that it owns within the current limit. */
export type UnitOwner = {
	readonly slot: string;
	readonly units: number;
};

/** Unit counts of one endpoint at one entry. */
export type EndpointUnitCounts = {
	readonly endpoint: string;
	/** Units that may be in use in the current phase, over all slots. */
	readonly limit: number;
	/** Units of the full limit that this slot owns. */
	readonly owned: number;
	/** Units that can be reserved now. */
	readonly available: number;
	readonly reserved: number;
	readonly started: number;
	readonly lent: number;
	readonly borrowed: number;
	readonly quarantined: number;
};
