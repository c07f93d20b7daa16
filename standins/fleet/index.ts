export {DeadlineError, waitFor, type WaitOptions} from './deadline.js';
export type {Deployment, Document, SiteOverlay} from './deployment.js';
export {createClachan, createKaroo, type TestDeploymentOptions} from './test-deployments.js';
export {EndpointControl, type EndpointKind} from './endpoint-control.js';
export {readExampleDeployment, type ExampleDeploymentOptions, type ExampleSite} from './example-deployment.js';
export {EntryProcess} from './entry-process.js';
export {Fleet, type FleetOptions, type ProxiedLink} from './fleet.js';
export {availableServicesOf, waitUntilServing, type AvailableServices} from './serving.js';
