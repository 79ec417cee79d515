package org.cornelway.traffic;

import java.util.Map;
import org.cornelway.dispatch.CrashEvidence;
import org.cornelway.dispatch.ServerLimits;
import org.cornelway.overload.CustomerUse;

/**
 * What the traffic thread reports to the controller. Immutable.
 *
 * @param usage calls in progress and call rates
 * @param evidence parts of prompts that crash servers
 * @param limits limits of servers, and the calls that wanted these servers
 * @param customers recent use of each customer
 */
public record TrafficReport(
        ModelUsage.Snapshot usage,
        CrashEvidence.Snapshot evidence,
        ServerLimits.Report limits,
        Map<String, CustomerUse> customers) {}
