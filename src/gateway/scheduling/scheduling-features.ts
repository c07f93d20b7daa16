import type {Milliseconds} from '../../shared/clock.js';
import {requestKinds, type SiteConfiguration} from '../site/types.js';

/** Optional parts of the scheduling, as the settings of a deployment switch them on. */
export type SchedulingSettings = {
	/** The parts act only while the configuration has streaming routes and each allows pauses between events of at least this: endpoints that are filled to the last slot pause for longer. */
	readonly minimumGapTargetMs: Milliseconds;
	/** Whether the slots of engines are assigned by one instance for all. */
	readonly slotCoordination: boolean;
	/** Whether waiting requests are ordered by the shares of their workspaces and by what they need. */
	readonly fairOrder: boolean;
	/** Whether endpoints are selected by their measured prompt and event rates. */
	readonly learnedSpeeds: boolean;
	/** Extra attempts for slow responses, as a ratio of the requests of a service; 0 is off. */
	readonly extraAttemptRatio: number;
};

/** The parts of the scheduling that act now. */
export type SchedulingFeatures = Omit<SchedulingSettings, 'minimumGapTargetMs'>;

/** Without the settings, and while the configuration doesn't call for any part. */
export const noSchedulingFeatures: SchedulingFeatures = {
	slotCoordination: false, fairOrder: false, learnedSpeeds: false, extraAttemptRatio: 0,
};

/** Returns the parts of the scheduling that act with a configuration. */
export function activeFeatures(settings: SchedulingSettings | undefined, configuration: SiteConfiguration | undefined): SchedulingFeatures {
	const streamingRoutes = configuration?.routes.filter(({kind}) => kind === requestKinds.streaming) ?? [];
	if (settings === undefined || streamingRoutes.length === 0 || streamingRoutes.some(({eventGapTargetMs}) => eventGapTargetMs < settings.minimumGapTargetMs)) {
		return noSchedulingFeatures;
	}

	const {minimumGapTargetMs: _, ...features} = settings;
	return features;
}
