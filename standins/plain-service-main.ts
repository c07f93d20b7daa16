/** Runs one or several stand-in plain services in this process. */
import {z} from 'zod';
import {PlainService, plainServiceSettingsSchema} from './plain-service.js';
import {runStandIns} from './run-stand-ins.js';

await runStandIns('stand-in-plain-service', z.array(plainServiceSettingsSchema), async settings => PlainService.start(settings));
