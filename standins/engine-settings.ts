/** Settings of the stand-in engine. */
import {z} from 'zod';

const milliseconds = z.number().nonnegative();
const tokensPerSecond = z.number().positive();

export const engineSettingsSchema = z.strictObject({
	name: z.string().min(1),
	host: z.string().default('127.0.0.1'),
	/** 0: any free port. */
	port: z.number().int().nonnegative().default(0),
	/** Concurrent requests that the warm engine sustains. */
	units: z.number().int().positive().default(8),
	/** Concurrent requests that the cold engine sustains; it fails requests above them. */
	coldUnits: z.number().int().positive().default(2),
	/** How long the engine is cold after its start. */
	coldMilliseconds: milliseconds.default(0),
	/** How many times slower the cold engine is. */
	coldSlowdown: z.number().min(1).default(2),
	/** Speed of prompt processing, shared by all requests in arrival order. */
	prefillTokensPerSecond: tokensPerSecond.default(8000),
	/** Output speed of a single running request. */
	decodeTokensPerSecond: tokensPerSecond.default(80),
	/** How much slower each request decodes in a full batch: 1 means half the speed of a single one. */
	batchSlowdown: z.number().nonnegative().default(1),
	/** Additional slowdown of the whole engine for each request above its units. */
	overloadSlowdown: z.number().nonnegative().default(1),
	/** Upper bound of the slowdown by overload. */
	maximumOverloadSlowdown: z.number().min(1).default(8),
	/** Size of the prefix cache. */
	cacheTokens: z.number().int().nonnegative().default(65_536),
	/** Prompt characters in one block of the prefix cache. */
	blockCharacters: z.number().int().positive().default(512),
	/** Output tokens in one server-sent event, after the first event, which has one. */
	tokensPerEvent: z.number().int().positive().default(1),
	/** How long an ended stream can still be resumed. */
	retentionMilliseconds: milliseconds.default(10_000),
	/** How old the load in a report is. */
	loadLagMilliseconds: milliseconds.default(500),
	cacheEventLagMilliseconds: milliseconds.default(500),
	/** Fraction of cache events that are never published. */
	cacheEventLossRatio: z.number().min(0).max(1).default(0.05),
	/** Whether orders with an old fencing number are rejected. */
	checksFencing: z.boolean().default(false),
});

export type EngineSettings = z.infer<typeof engineSettingsSchema>;
/** Settings in which everything but the name has a default. */
export type EngineOptions = z.input<typeof engineSettingsSchema>;
