/** Runs a stand-in instance list. */
import {z} from 'zod';
import {InstanceList, instanceListSettingsSchema} from './instance-list.js';
import {runStandIns} from './run-stand-ins.js';

await runStandIns('stand-in-instance-list', z.array(instanceListSettingsSchema), async settings => InstanceList.start(settings));
