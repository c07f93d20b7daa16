import type {Logger} from '../../shared/log.js';
import type {Clock, Milliseconds} from '../../shared/clock.js';

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Lines a second of one event; more are counted and reported together. A calm instance writes about 70 lines a second in all. */
const maximumLinesPerSecond = 150;

const windowMs: Milliseconds = 1000;

type RateLimitWindow = {startedAt: Milliseconds; lines: number; suppressed: number};

/** One line for each decision that touches a request or changes what the process believes, bounded for each kind of event. */
export class EventLog {
	static create(logger: Logger, clock: Clock): EventLog {
		return new EventLog(logger, clock);
	}

	readonly #windows = new Map<string, RateLimitWindow>();

	private constructor(private readonly logger: Logger, private readonly clock: Clock) {}

	event(name: string, fields: LogFields): void {
		const now = this.clock.now();
		let window = this.#windows.get(name);
		if (window === undefined || now - window.startedAt >= windowMs) {
			const suppressed = window?.suppressed ?? 0;
			window = {startedAt: now, lines: 0, suppressed: 0};
			this.#windows.set(name, window);
			if (suppressed > 0) {
				this.logger.warn({of: name, count: suppressed}, 'log-lines-suppressed');
			}
		}

		if (window.lines >= maximumLinesPerSecond) {
			window.suppressed++;
			return;
		}

		window.lines++;
		this.logger.info(fields, name);
	}
}
