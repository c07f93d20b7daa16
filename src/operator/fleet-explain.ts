import {Agent, request} from 'undici';
import {z} from 'zod';
import {
	explainPath, explanationSchema, type ExplainParameter, type Explanation, type PlacementExplanation,
} from '../shared/explanation.js';
import {OperatorError} from './operator-error.js';
import {formatDuration, formatTable} from './table.js';

/** An explanation with 850 endpoints has some 100 kilobytes. */
const maximumResponseBytes = 4 * 1024 * 1024;

const errorSchema = z.object({error: z.string()});

export type ExplainQuestion = Partial<Record<ExplainParameter, string>>;

/**
Asks a gateway where a request would go now.

@param address host and port of its metrics
@throws {OperatorError} when it doesn't answer, or the question names something that it doesn't know
*/
export async function readExplanation(address: string, question: ExplainQuestion, timeoutMs: number): Promise<Explanation> {
	const agent = new Agent({maxResponseSize: maximumResponseBytes});
	try {
		const parameters = new URLSearchParams(Object.entries(question).filter(([, value]) => value !== undefined));
		const {statusCode, body} = await request(`http://${address}${explainPath}?${parameters.toString()}`, {dispatcher: agent, signal: AbortSignal.timeout(timeoutMs)});
		return decode(address, statusCode, await body.text());
	} catch (error) {
		if (error instanceof OperatorError) {
			throw error;
		}

		const {name, message, code} = error as NodeJS.ErrnoException;
		throw OperatorError.create('gateway-unreachable', `${address}: ${name === 'TimeoutError' ? `no answer within ${timeoutMs} ms` : code ?? message}`, error);
	} finally {
		await agent.destroy();
	}
}

function decode(address: string, status: number, text: string): Explanation {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		value = undefined;
	}

	const {error} = errorSchema.safeParse(value).data ?? {};
	if (status >= 400 && status < 500 && error !== undefined) {
		throw OperatorError.create('invalid-argument', error);
	}

	const explanation = explanationSchema.safeParse(value);
	if (status !== 200 || !explanation.success) {
		throw OperatorError.create('gateway-unreachable', `${address}: ${error ?? `answered with status ${status} and no explanation`}`);
	}

	return explanation.data;
}

export function formatExplanation({requestId, route, kind, workspace, tier, services, refusal}: Explanation): string {
	const subject = requestId === undefined ? 'a request' : `request ${requestId}`;
	const lines = [`${subject} on route ${route} (${kind}), tier ${tier}${workspace === undefined ? '' : `, workspace ${workspace}`}`];
	if (refusal !== undefined) {
		lines.push(`refused before it waits: ${formatRefusal(refusal)}`);
	}

	for (const {service, share, inFlightAt, placement} of services) {
		lines.push('', `service ${service}${share < 1 ? `, ${Math.round(share * 100)} % of the requests` : ''}`);
		if (inFlightAt.length > 0) {
			lines.push(`in flight at ${inFlightAt.join(' and ')}`);
		} else if (placement === undefined) {
			lines.push('not configured');
		} else {
			lines.push(...formatPlacement(placement));
		}
	}

	return lines.join('\n');
}

function formatRefusal({reason, retryAfterMs}: {reason: string; retryAfterMs?: number}): string {
	return `${reason}${retryAfterMs === undefined ? '' : `, retry after ${formatDuration(retryAfterMs)}`}`;
}

function describeNext(explanation: PlacementExplanation): string {
	const {selected, isCoordinated, isRandom, refusal, expectedWaitMs} = explanation;
	if (isCoordinated) {
		return `asks a coordinator for a slot; without its answer: ${describeNext({...explanation, isCoordinated: false})}`;
	}

	if (selected !== undefined) {
		return `goes to ${selected}${isRandom ? ' or another candidate: chosen at random, by capacity and cost' : ''}`;
	}

	if (refusal !== undefined) {
		return `refused: ${formatRefusal(refusal)}`;
	}

	return `waits${expectedWaitMs === undefined ? '' : `, expected ${formatDuration(expectedWaitMs)}`}`;
}

function formatPlacement(placement: PlacementExplanation): string[] {
	const {candidates, leftOut, waiting, ahead, isLate} = placement;
	const lines = [describeNext(placement), `${waiting} waiting, ${ahead} ahead${isLate ? '; it is late' : ''}`];
	if (candidates.length > 0) {
		const rows = candidates.toSorted((a, b) => a.costMs - b.costMs).map(({endpoint, costMs, inFlight, slots, isFailing, isSameZone, canFinish}) => {
			const notes = [isSameZone ? 'same zone' : '', isFailing ? 'failing' : '', canFinish ? '' : 'too slow'];
			return [endpoint, Math.round(costMs), inFlight, slots, notes.filter(Boolean).join(', ')];
		});
		lines.push(formatTable(['CANDIDATE', 'COST MS', 'IN FLIGHT', 'SLOTS', 'NOTES'], rows));
	}

	if (leftOut.length > 0) {
		lines.push(formatTable(['LEFT OUT', 'REASON'], leftOut.map(({endpoint, reason}) => [endpoint, reason])));
	}

	return lines;
}
