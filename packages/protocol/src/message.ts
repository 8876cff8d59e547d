/** Types of the messages between daemons. */
export enum MessageType {
  Hello = 'hello',
  Heartbeat = 'heartbeat',
  ConfigPush = 'configPush',
  ConfigRequest = 'configRequest',
  CreditRequest = 'creditRequest',
  CreditGrant = 'creditGrant',
  CreditReturn = 'creditReturn',
  JobsChanged = 'jobWake',
  Leaving = 'leaving',
  HealthHint = 'hint',
  ReportRequest = 'reportRequest',
  Report = 'report',
  RelayCall = 'relayCall',
  RelayAnswer = 'relayAnswer',
}

/** Whether a daemon accepts new work. */
export enum MemberState {
  Live = 'live',
  Draining = 'draining',
}

/** Address and location of a daemon. */
export interface MemberAddress {
  id: string;
  region: string;
  dataCentre: string;
  /** `ip:port` of the peer listener. */
  peerAddress: string;
}

/** First message on a connection, sent by the side that opened it. */
export interface HelloMessage {
  type: MessageType.Hello;
  id: string;
  region: string;
  dataCentre: string;
  /** Address of the sender's peer listener, `ip:port`. */
  peerAddress: string;
  /** Random value chosen at process start; distinguishes a restarted process from the previous one. */
  incarnation: string;
  /** Shared secret of the deployment, compared in constant time. */
  secret: string;
  /** Daemons known to the sender, so that a new daemon finds its peers while the store is down. */
  members: MemberAddress[];
}

/** Periodic state report of a daemon. */
export interface HeartbeatMessage {
  type: MessageType.Heartbeat;
  sequence: number;
  state: MemberState;
  /** Active configuration revision of the sender; 0 when there is none. */
  configRevision: number;
  /** Members from which the sender received a heartbeat within the suspicion time. */
  heard: string[];
}

/** A complete configuration revision, sent to daemons that have an older one. */
export interface ConfigPushMessage {
  type: MessageType.ConfigPush;
  revision: number;
  /** SHA-256 of the manifest, in hexadecimal. */
  manifest: string;
  /** File name to content. */
  files: Record<string, string>;
}

/** Requests the configuration if the receiver's revision is higher than `revision`. */
export interface ConfigRequestMessage {
  type: MessageType.ConfigRequest;
  revision: number;
}

/** Demand of a router for slots of one endpoint. */
export interface CreditDemand {
  endpoint: string;
  /** Slots wanted in total, including those in use. */
  wanted: number;
  /** Requests in flight. */
  inUse: number;
  /** Time until the latest deadline of the requests in flight, in milliseconds. */
  longestDeadlineMs: number;
}

/** Requests slots from a grantor. Sent periodically and whenever demand rises. */
export interface CreditRequestMessage {
  type: MessageType.CreditRequest;
  /** Sequence number of the sender. The grant repeats it, so that a stale grant can be discarded. */
  sequence: number;
  demands: CreditDemand[];
}

/** Slots granted at one endpoint. */
export interface CreditSlots {
  endpoint: string;
  slots: number;
}

/** Response to a credit request. Replaces earlier grants for the same endpoints. */
export interface CreditGrantMessage {
  type: MessageType.CreditGrant;
  /** Sequence of the credit request. */
  sequence: number;
  grants: CreditSlots[];
  /** Validity in milliseconds, counted from the sending of the *request* on the requester's clock. */
  ttlMs: number;
}

/** Returns slots before they expire. If it is lost, the slots become free only when they expire. */
export interface CreditReturnMessage {
  type: MessageType.CreditReturn;
  /** Sequence of the sender's last credit request; earlier requests are no longer valid. */
  sequence: number;
  returns: CreditSlots[];
}

/** Notifies the daemons of a region that another daemon added, cancelled or changed job rows. */
export interface JobsChangedMessage {
  type: MessageType.JobsChanged;
  region: string;
  jobIds: string[];
}

/** Announces daemons or endpoints that accept no new work from now on. */
export interface LeavingMessage {
  type: MessageType.Leaving;
  /** Ids of the instances. */
  instances: string[];
}

/** Reports endpoints that the sender found unhealthy, as a hint for the health checks of its peers. */
export interface HealthHintMessage {
  type: MessageType.HealthHint;
  unhealthy: string[];
}

/** Requests the report of a region from its owner; daemons that own no region do not respond. */
export interface ReportRequestMessage {
  type: MessageType.ReportRequest;
  sequence: number;
}

/** State of a region for operators, as plain data. */
export interface ReportMessage {
  type: MessageType.Report;
  /** Sequence of the report request. */
  sequence: number;
  report: unknown;
}

/** Operations on jobs that an instance can relay to another one. */
export enum RelayOperation {
  Submit = 'submit',
  GetState = 'getState',
  Cancel = 'cancel',
}

/** A caller's request that the sender relays because it cannot reach the store. */
export interface RelayCallMessage {
  type: MessageType.RelayCall;
  operation: RelayOperation;
  /** Host, path and API key of the request; the receiver authorises it by its own configuration. */
  host: string;
  path: string;
  key: string;
  jobId: string;
  /** The job in JSON for a submission, otherwise empty. */
  job: string;
  /** How long the sender waits for the response, in milliseconds. */
  deadlineMs: number;
}

/** Response to a relayed call. */
export interface RelayAnswerMessage {
  type: MessageType.RelayAnswer;
  /** `FaultCode` of the error; empty on success. */
  faultCode: string;
  message: string;
  retryAfterMs: number;
  /** Result of the operation: the state of the job, whether it was cancelled, or empty. */
  value: string;
}

/** Every message between daemons. */
export type PeerMessage =
  | HelloMessage
  | HeartbeatMessage
  | ConfigPushMessage
  | ConfigRequestMessage
  | CreditRequestMessage
  | CreditGrantMessage
  | CreditReturnMessage
  | JobsChangedMessage
  | LeavingMessage
  | HealthHintMessage
  | ReportRequestMessage
  | ReportMessage
  | RelayCallMessage
  | RelayAnswerMessage;
