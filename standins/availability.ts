/** Simulated unavailability of the stand-ins of the platform. */
import type {IncomingMessage} from 'node:http';
import {resetConnection} from './stand-in-server.js';

export const availabilities = {
	up: 'up',
	/** Every connection is reset. */
	down: 'down',
	/** Requests are read and never get a response. */
	hanging: 'hanging',
} as const;

export type Availability = (typeof availabilities)[keyof typeof availabilities];

/** Resets the connection when the stand-in is down. @returns true when no response is to be written */
export function handleUnavailability(availability: Availability, request: IncomingMessage): boolean {
	if (availability === availabilities.down) {
		resetConnection(request);
	}

	return availability !== availabilities.up;
}
