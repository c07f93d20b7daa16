import * as z from 'zod';

/** Events that are recorded in the audit trail. */
export const auditEvents = {
	start: 'start',
	stop: 'stop',
	configurationAdopted: 'configuration-adopted',
	configurationRejected: 'configuration-rejected',
	configurationConflict: 'configuration-conflict',
	availabilityZoneOut: 'availability-zone-out',
	availabilityZoneIn: 'availability-zone-in',
	instanceLeaving: 'instance-leaving',
	leaseGained: 'lease-gained',
	leaseLost: 'lease-lost',
	phaseChanged: 'phase-changed',
} as const;

export type AuditEvent = (typeof auditEvents)[keyof typeof auditEvents];

/** One entry of an audit trail, as served on the operator port. */
export const auditEntrySchema = z.object({
	/** Counts from 1 within one incarnation. */
	sequence: z.number().int().positive(),
	/** Milliseconds since the Unix epoch, from the instance's own clock. */
	wallTime: z.number(),
	/** One of `auditEvents`; a newer entry may record others. */
	event: z.string(),
	/** What caused the event: `configuration-service`, a slot, an endpoint or `self`. */
	actor: z.string(),
	detail: z.record(z.string(), z.unknown()),
});

export type AuditEntry = z.infer<typeof auditEntrySchema>;

/** The response of `GET /v1/audit`. */
export const auditReportSchema = z.object({
	slot: z.string(),
	incarnation: z.string(),
	entries: z.array(auditEntrySchema),
	/** Sequence of the oldest retained entry; older ones were overwritten. Absent when there is none. */
	oldestSequence: z.number().optional(),
	/** Value of the parameter `after` that returns the entries after these. */
	next: z.number(),
});

export type AuditReport = z.infer<typeof auditReportSchema>;
