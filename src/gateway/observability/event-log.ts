import type {Logger} from '../../shared/log.js';
import type {Clock, Milliseconds} from '../../shared/clock.js';

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Limit for each event; lines beyond it are counted and reported together. An instance under normal load writes about 70 lines a second in total. */
const maximumLinesPerSecond = 150;

const windowMs: Milliseconds = 1000;

type RateLimitWindow = {startedAt: Milliseconds; lines: number; suppressed: number};

/** Logs decisions about requests and changes of the known state, one line each, with a rate limit for each event. */
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
