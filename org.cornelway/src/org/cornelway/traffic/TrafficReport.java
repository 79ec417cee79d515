package org.cornelway.traffic;

import org.cornelway.dispatch.CrashEvidence;

/**
 * What the traffic thread reports to the controller. Immutable.
 *
 * @param usage calls in progress and call rates
 * @param evidence parts of prompts that crash servers
 */
public record TrafficReport(ModelUsage.Snapshot usage, CrashEvidence.Snapshot evidence) {}
