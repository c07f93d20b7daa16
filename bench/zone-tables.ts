/** Tables of the zone changes. */
import {formatTable} from '../src/operator/table.js';
import type {ZoneChange} from './zone-change.js';

function formatSecondsCell(value: number | undefined): string {
	return value === undefined ? '-' : value.toFixed(2);
}

function percent(ratio: number): string {
	return `${(ratio * 100).toFixed(1)} %`;
}

/** Formats one row for each zone change. */
export function formatZoneChanges(changes: readonly ZoneChange[]): string {
	return formatTable(
		['disturbance', 'last dispatch s', 'share before', 'share back s', 'cut', 'cut in killed entry', 'refused', 'top steady', 'top lowest second', 'top over all', 'failures'],
		changes.map(change => [
			change.disturbance,
			formatSecondsCell(change.lastDispatchSeconds),
			percent(change.shareBefore),
			formatSecondsCell(change.shareReturnedSeconds),
			change.cut,
			change.cutInKilledEntry,
			change.refused,
			percent(change.steadyTopShare),
			percent(change.lowestTopRatio),
			percent(change.meanTopRatio),
			Object.entries(change.failures).map(([type, count]) => `${type} ${count}`).join(', '),
		]),
	);
}

/** Formats good responses and requests in each second, by tier. */
export function formatSeconds({disturbance, seconds: bySecond, times}: ZoneChange): string {
	const tiers = Object.keys(bySecond[0] ?? {});
	const heading = `zone change, disturbance: ${disturbance}; out at ${times.out / 1000} s, back at ${times.back / 1000} s; good/requests by second of arrival`;
	const rows = bySecond.map((second, index) => [index, ...tiers.map(tier => `${second[tier]!.good}/${second[tier]!.offered}`)]);
	return `${heading}\n${formatTable(['s', ...tiers], rows)}`;
}
