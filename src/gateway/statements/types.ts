import type {Milliseconds} from '../../shared/clock.js';
import type {EndpointStart} from '../site/endpoint-start.js';

/** Who received a statement, and when. */
export type StatementSource = {
	/** Host of the instance that received the response. */
	readonly heardBy: string;
	/** When it was received, on the clock of this instance. */
	readonly heardAt: Milliseconds;
};

/** Requests a second that an endpoint takes from all instances together. */
export type LimitStatement = StatementSource & {readonly perSecond: number};

export type LeavingReport = EndpointStart & StatementSource & {readonly kind: 'leaving'};

/** Without a rate, the endpoint no longer names a limit. */
export type LimitReport = EndpointStart & StatementSource & {readonly kind: 'limit'; readonly perSecond?: number};

/** What an endpoint has stated to some instance. */
export type StatementReport = LeavingReport | LimitReport;

type Received<Report> = Report extends StatementSource ? Omit<Report, 'heardAt'> & {readonly ageMs: Milliseconds} : never;

/** A report as another instance sent it, with its age, because the clocks of instances differ. */
export type ReceivedStatementReport = Received<StatementReport>;
