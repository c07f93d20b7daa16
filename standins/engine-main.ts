/** Runs one or several stand-in engines in this process. */
import {z} from 'zod';
import {Engine} from './engine.js';
import {engineSettingsSchema} from './engine-settings.js';
import {runStandIns} from './run-stand-ins.js';

await runStandIns('stand-in-engine', z.array(engineSettingsSchema), async settings => Engine.start(settings));
