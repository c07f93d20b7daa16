import type {EventEmitter} from 'node:events';
import {describeError} from '../shared/describe-error.js';
import type {EventLog} from './observability/event-log.js';

/** Logs errors that no component has handled, and keeps the process running: the other requests are not affected by them, and a restart would cut all of them. */
export function logUnexpectedErrors(source: Pick<EventEmitter, 'on'>, log: EventLog): void {
	for (const event of ['uncaughtException', 'unhandledRejection']) {
		source.on(event, (error: unknown) => {
			log.event('unexpected-error', {event, reason: describeError(error), stack: error instanceof Error ? error.stack?.split('\n').slice(1, 4).map(line => line.trim()).join(' < ') : undefined});
		});
	}
}
