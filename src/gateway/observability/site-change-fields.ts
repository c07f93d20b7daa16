import type {SiteChange} from '../site/site-state.js';
import type {LogFields} from './event-log.js';

/** Log fields of a change of the site. */
export function siteChangeFields(change: SiteChange): LogFields {
	if ('endpoint' in change) {
		const {id, service, address, availabilityZone, isLeaving, coldRemainingMs, startedAt} = change.endpoint;
		return {
			endpoint: id, service, address, availabilityZone, isLeaving, coldRemainingMs, startedAt, keptForMs: 'keptForMs' in change ? change.keptForMs : undefined,
		};
	}

	if ('record' in change) {
		return {key: change.record.key, reason: change.record.reason};
	}

	const {kind, ...fields} = change;
	return fields;
}
