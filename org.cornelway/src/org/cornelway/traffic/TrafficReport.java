package org.cornelway.traffic;

import java.util.Map;
import java.util.Optional;
import org.cornelway.dispatch.CrashEvidence;
import org.cornelway.dispatch.ServerLimits;
import org.cornelway.overload.CustomerUse;
import org.cornelway.quota.QuotaReport;

/**
 * What the traffic thread reports to the controller. Immutable.
 *
 * @param usage calls in progress and call rates
 * @param evidence parts of prompts that crash servers
 * @param limits limits of servers, and the calls that wanted these servers
 * @param quotas use of customers' quotas; empty if no customer has one
 * @param customers recent use of each customer
 */
public record TrafficReport(
        ModelUsage.Snapshot usage,
        CrashEvidence.Snapshot evidence,
        ServerLimits.Report limits,
        Optional<QuotaReport> quotas,
        Map<String, CustomerUse> customers) {}
