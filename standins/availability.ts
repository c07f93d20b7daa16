/** Ways in which a stand-in of the platform can be unavailable. */
import type {IncomingMessage} from 'node:http';
import {resetConnection} from './stand-in-server.js';

export const availabilities = {
	up: 'up',
	/** Every connection is reset. */
	down: 'down',
	/** Requests are read and never answered. */
	hanging: 'hanging',
} as const;

export type Availability = (typeof availabilities)[keyof typeof availabilities];

/** Applies an availability to a request; true when no response is to be written. */
export function handleUnavailability(availability: Availability, request: IncomingMessage): boolean {
	if (availability === availabilities.down) {
		resetConnection(request);
	}

	return availability !== availabilities.up;
}
