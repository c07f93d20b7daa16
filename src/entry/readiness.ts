import type {Configuration} from '../shared/configuration/index.js';
import {readinessStates, type ReadinessState} from './callers/index.js';

/** State of the entry that decides whether it is ready. */
export type ReadinessConditions = {
	readonly slot: string;
	readonly isShuttingDown: boolean;
	/** The configuration in force; undefined until one has been adopted. */
	readonly configuration: Configuration | undefined;
	readonly isLeaseHeld: boolean;
};

/** Whether the entry accepts new requests, and the reason if it does not. */
export type EntryReadiness = {
	readonly state: ReadinessState;
	readonly reason?: string;
};

export function readinessOf({slot, isShuttingDown, configuration, isLeaseHeld}: ReadinessConditions): EntryReadiness {
	if (isShuttingDown) {
		return {state: readinessStates.shuttingDown, reason: 'shutting down'};
	}

	if (!configuration) {
		return {state: readinessStates.notReady, reason: 'no configuration is in force'};
	}

	const entrySlot = configuration.entrySlots[slot];
	if (!entrySlot) {
		return {state: readinessStates.notReady, reason: `the configuration has no entry slot ${slot}`};
	}

	if (entrySlot.state === 'out' || configuration.availabilityZones[entrySlot.availabilityZone]?.state === 'out') {
		return {state: readinessStates.notReady, reason: 'the entry slot or its availability zone is out of service'};
	}

	return isLeaseHeld
		? {state: readinessStates.ready}
		: {state: readinessStates.notReady, reason: 'the entry lease is not held'};
}
