/** Types of the messages between daemons. */
export enum MessageType {
  Hello = 'hello',
  Heartbeat = 'heartbeat',
  ConfigPush = 'configPush',
  ConfigRequest = 'configRequest',
  CreditRequest = 'creditRequest',
  CreditGrant = 'creditGrant',
  CreditReturn = 'creditReturn',
  JobWake = 'jobWake',
  Leaving = 'leaving',
  Hint = 'hint',
  ReportRequest = 'reportRequest',
  Report = 'report',
  RelayCall = 'relayCall',
  RelayAnswer = 'relayAnswer',
}

/** Whether a daemon takes new work. */
export enum MemberState {
  Live = 'live',
  Draining = 'draining',
}

/** Where a daemon can be reached. */
export interface MemberAddress {
  id: string;
  region: string;
  dataCentre: string;
  /** `ip:port` of the peer listener. */
  peerAddress: string;
}

/** First message on every connection, sent by the side that opened it. */
export interface HelloMessage {
  type: MessageType.Hello;
  id: string;
  region: string;
  dataCentre: string;
  /** Address of the sender's peer listener, `ip:port`. */
  peerAddress: string;
  /** Random value chosen at process start; tells a restarted process from its predecessor. */
  incarnation: string;
  /** Shared secret of the deployment, compared in constant time. */
  secret: string;
  /** Daemons known to the sender, so that a new one finds members while the store is down. */
  members: MemberAddress[];
}

/** Periodic state of a daemon. */
export interface HeartbeatMessage {
  type: MessageType.Heartbeat;
  sequence: number;
  state: MemberState;
  /** Configuration revision in force on the sender; 0 when none is. */
  configRevision: number;
  /** Members heard by the sender within the suspicion time. */
  heard: string[];
}

/** A whole configuration revision, sent to daemons that have an older one. */
export interface ConfigPushMessage {
  type: MessageType.ConfigPush;
  revision: number;
  /** SHA-256 of the manifest, in hexadecimal. */
  manifest: string;
  /** File name to content. */
  files: Record<string, string>;
}

/** Asks for the configuration when the receiver's revision is above `revision`. */
export interface ConfigRequestMessage {
  type: MessageType.ConfigRequest;
  revision: number;
}

/** What a router holds and wants at one endpoint. */
export interface CreditDemand {
  endpoint: string;
  /** Slots wanted in total, including those in use. */
  wanted: number;
  /** Requests in progress. */
  inUse: number;
  /** Longest time until the deadline of a request in progress, in milliseconds. */
  longestDeadlineMs: number;
}

/** Asks a grantor for slots. Sent periodically and whenever demand rises. */
export interface CreditRequestMessage {
  type: MessageType.CreditRequest;
  /** Number of the request at the sender; the grant repeats it, so a late grant can be dropped. */
  sequence: number;
  demands: CreditDemand[];
}

/** Slots granted at one endpoint. */
export interface CreditSlots {
  endpoint: string;
  slots: number;
}

/** Slots granted in answer to a request; they replace earlier grants for the same endpoints. */
export interface CreditGrantMessage {
  type: MessageType.CreditGrant;
  /** Sequence of the request answered. */
  sequence: number;
  grants: CreditSlots[];
  /** Validity from the moment the *request* was sent, by the receiver's clock, in milliseconds. */
  ttlMs: number;
}

/** Gives slots back before their expiry. Losing it costs time, never safety. */
export interface CreditReturnMessage {
  type: MessageType.CreditReturn;
  /** Sequence of the sender's last credit request; requests sent before it are void. */
  sequence: number;
  returns: CreditSlots[];
}

/** A job row of the region was added, cancelled or changed by another daemon. */
export interface JobWakeMessage {
  type: MessageType.JobWake;
  region: string;
  jobIds: string[];
}

/** A daemon or endpoint takes no new work from now on. */
export interface LeavingMessage {
  type: MessageType.Leaving;
  /** Instance ids. */
  instances: string[];
}

/** Observed health of endpoints, as a hint to peers. */
export interface HintMessage {
  type: MessageType.Hint;
  unhealthy: string[];
}

/** Asks the owner of a region for its report; daemons that own none do not answer. */
export interface ReportRequestMessage {
  type: MessageType.ReportRequest;
  sequence: number;
}

/** State of a region for operators, as plain data. */
export interface ReportMessage {
  type: MessageType.Report;
  /** Sequence of the request answered. */
  sequence: number;
  report: unknown;
}

/** Operations on jobs that one instance may carry out for another. */
export enum RelayOperation {
  Submit = 'submit',
  GetState = 'getState',
  Cancel = 'cancel',
}

/** A caller's request that the sender cannot serve, because it does not reach the store. */
export interface RelayCallMessage {
  type: MessageType.RelayCall;
  operation: RelayOperation;
  /** Host, path and key of the caller; the receiver admits the call by its own configuration. */
  host: string;
  path: string;
  key: string;
  jobId: string;
  /** The job in JSON for a submission, else empty. */
  job: string;
  /** How long the sender waits for the answer, in milliseconds. */
  deadlineMs: number;
}

/** Answer to a relayed call. */
export interface RelayAnswerMessage {
  type: MessageType.RelayAnswer;
  /** Kind of the error; empty when there was none. */
  faultCode: string;
  message: string;
  retryAfterMs: number;
  /** State of the job, whether it was cancelled, or empty. */
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
  | JobWakeMessage
  | LeavingMessage
  | HintMessage
  | ReportRequestMessage
  | ReportMessage
  | RelayCallMessage
  | RelayAnswerMessage;
