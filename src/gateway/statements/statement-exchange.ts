import type {Milliseconds} from '../../shared/clock.js';
import {GossipExchange, selectInRotation} from '../membership/gossip-exchange.js';
import type {OutgoingDatagram} from '../membership/heartbeat-exchange.js';
import type {PeerGroup} from '../membership/peer-group.js';
import {startKey} from '../site/endpoint-start.js';
import {encodeStatementReports} from './statement-report-codec.js';
import type {EndpointStatements} from './endpoint-statements.js';
import type {ReceivedStatementReport, StatementReport} from './types.js';

/** Reports in one repair; the next one goes on after them. */
const reportsPerRepair = 16;

const ranks: Readonly<Record<StatementReport['kind'], number>> = {leaving: 0, limit: 1};

/** Of two reports of one kind from one start of an endpoint, the later one counts. */
function joinReports(first: StatementReport, second: StatementReport): StatementReport | undefined {
	if (first.kind !== second.kind || startKey(first) !== startKey(second)) {
		return undefined;
	}

	return second.heardAt >= first.heardAt ? second : first;
}

export type StatementExchangeOptions = {
	readonly peers: PeerGroup;
	readonly ownHost: string;
	readonly statements: EndpointStatements;
	/** Returns a random number from 0 to below 1. */
	readonly random: () => number;
};

/** Exchanges what endpoints have stated with the other instances. */
export class StatementExchange {
	static create(options: StatementExchangeOptions): StatementExchange {
		return new StatementExchange(options);
	}

	readonly #gossip: GossipExchange<StatementReport>;
	#repairedReports = 0;

	private constructor(private readonly options: StatementExchangeOptions) {
		const {peers, ownHost, statements, random} = options;
		this.#gossip = GossipExchange.create({
			peers, ownHost, random,
			allItems: () => statements.reports(),
			repairItems: () => this.#repairItems(),
			encode: encodeStatementReports,
			join: joinReports,
			rank: ({kind}) => ranks[kind],
		});
	}

	/** Number of reports that wait to be sent. */
	get pendingCount(): number {
		return this.#gossip.pendingCount;
	}

	/** Returns what is to be sent of what this instance has heard. */
	publish(reports: readonly StatementReport[], now: Milliseconds): OutgoingDatagram[] {
		return this.#gossip.publish(reports, now);
	}

	/** Returns what is to be sent now. */
	tick(now: Milliseconds): OutgoingDatagram[] {
		return this.#gossip.tick(now);
	}

	/** Applies reports. Returns what is to be sent in response. */
	receive(reports: readonly ReceivedStatementReport[], sender: string, now: Milliseconds): OutgoingDatagram[] {
		const news = this.options.statements.receive(reports.map(({ageMs, ...report}) => ({...report, heardAt: now - ageMs})));
		return this.#gossip.passOn(news, sender, now);
	}

	/** Returns all reports for an instance that has started or was out of touch. */
	greet(host: string, now: Milliseconds): OutgoingDatagram[] {
		return this.#gossip.greet(host, now);
	}

	#repairItems(): StatementReport[] {
		const selected = selectInRotation(this.options.statements.reports(), this.#repairedReports, reportsPerRepair);
		this.#repairedReports += reportsPerRepair;
		return selected;
	}
}
