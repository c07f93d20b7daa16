import type {Configuration} from '../../shared/configuration/index.js';
import {problemTypes, type StatusProblem} from '../../shared/status.js';
import type {HandlerTable, Mailbox} from '../../shared/message-loop.js';
import type {AuditTrail} from '../observability/audit-trail.js';
import type {Metrics} from '../observability/metrics.js';
import type {CurrentConfiguration} from './configuration-in-force.js';
import type {ConfigurationMessage} from './configuration-watch-task.js';

export type ConfigurationRecorderOptions = {
	readonly audit: AuditTrail;
	readonly metrics: Metrics;
	/** Called after a new version has come into force. */
	readonly onChanged: (current: CurrentConfiguration) => void;
};

/** Records the results of offered documents in the audit trail, the metrics and the list of problems. */
export class ConfigurationRecorder implements Mailbox<ConfigurationMessage> {
	static create(options: ConfigurationRecorderOptions): ConfigurationRecorder {
		return new ConfigurationRecorder(options);
	}

	readonly #handlers: HandlerTable<ConfigurationMessage> = {
		'configuration-changed': ({current, difference, source}) => {
			const {audit, metrics, onChanged} = this.options;
			this.#latestProblem = undefined;
			metrics.countConfigurationVersion('adopted');
			metrics.setConfigurationVersion(current.version);
			audit.record({
				event: 'configuration-adopted', actor: source, version: current.version, digest: current.digest, difference,
			});
			this.#recordZoneChanges(current, source);
			onChanged(current);
		},
		'configuration-rejected': ({version, source, problems}) => {
			const detail = `version ${version}: ${problems.map(({path, expected}) => `${path} expected ${expected}`).join('; ')}`;
			this.#latestProblem = {type: problemTypes.configurationRejected, subject: source, detail};
			this.options.metrics.countConfigurationVersion('invalid');
			this.options.audit.record({
				event: 'configuration-rejected', actor: source, version, problems,
			});
		},
		'configuration-conflict': ({version, source, digestInForce, otherDigest}) => {
			this.#latestProblem = {type: problemTypes.configurationConflict, subject: source, detail: `version ${version} from ${source} differs from the document in force`};
			this.options.metrics.countConfigurationVersion('conflict');
			this.options.audit.record({
				event: 'configuration-conflict', actor: source, version, digestInForce, otherDigest,
			});
		},
		'configuration-backward': () => {
			this.options.metrics.countConfigurationVersion('older');
		},
		'configuration-service-unavailable': () => undefined,
		'configuration-service-restored': () => undefined,
	};

	#latestProblem: StatusProblem | undefined;
	#previousConfiguration: Configuration | undefined;

	private constructor(private readonly options: ConfigurationRecorderOptions) {}

	post(message: ConfigurationMessage): void {
		const handler = this.#handlers[message.kind] as (message: ConfigurationMessage) => void;
		handler(message);
	}

	/** Problem of the latest document that was rejected or in conflict; empty after an adoption. */
	problems(): StatusProblem[] {
		return this.#latestProblem ? [this.#latestProblem] : [];
	}

	#recordZoneChanges({configuration, version}: CurrentConfiguration, source: string): void {
		for (const [availabilityZone, {state}] of Object.entries(configuration.availabilityZones)) {
			const previousState = this.#previousConfiguration?.availabilityZones[availabilityZone]?.state ?? 'in';
			if (state !== previousState) {
				this.options.audit.record({
					event: state === 'out' ? 'availability-zone-out' : 'availability-zone-in', actor: source, availabilityZone, version,
				});
			}
		}

		this.#previousConfiguration = configuration;
	}
}
