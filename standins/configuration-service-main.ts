/** Runs a stand-in configuration service. */
import {z} from 'zod';
import {ConfigurationService, configurationServiceSettingsSchema} from './configuration-service.js';
import {runStandIns} from './run-stand-ins.js';

await runStandIns('stand-in-configuration-service', z.array(configurationServiceSettingsSchema), async settings => ConfigurationService.start(settings));
