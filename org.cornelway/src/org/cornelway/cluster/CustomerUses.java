package org.cornelway.cluster;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelway.overload.CustomerShares;
import org.cornelway.overload.CustomerUse;
import org.cornelway.rpc.CustomerShare;
import org.cornelway.time.Deadline;

/**
 * The recent use of the customers at each entry, from which the controller computes their shares. A
 * new controller has it from the next reports. Confined to the control thread.
 */
final class CustomerUses {
    /** Time for which a report counts; entries report several times within it. */
    private static final long REPORT_MILLIS = 1_000;

    private final Map<String, Report> mReports = new HashMap<>();

    /** The last report of one entry. Immutable. */
    private record Report(Map<String, CustomerUse> uses, Deadline until) {}

    /** Replaces what an entry has reported. */
    void record(String entry, List<org.cornelway.rpc.CustomerUse> uses, long nowMillis) {
        mReports.values().removeIf(report -> report.until().isPast(nowMillis));
        Map<String, CustomerUse> byCustomer = new HashMap<>();
        for (org.cornelway.rpc.CustomerUse use : uses) {
            byCustomer.put(use.getCustomer(), fromMessage(use));
        }
        mReports.put(entry, new Report(byCustomer, Deadline.after(nowMillis, REPORT_MILLIS)));
    }

    /** Returns the part of their use that is within their shares, for customers beyond them. */
    Map<String, Double> fractions() {
        Map<String, CustomerUse> sums = new HashMap<>();
        mReports.values()
                .forEach(
                        report ->
                                report.uses()
                                        .forEach(
                                                (name, use) ->
                                                        sums.merge(name, use, CustomerUse::plus)));
        return CustomerShares.fractions(sums);
    }

    /** Returns the messages of the reply to an entry. */
    List<CustomerShare> toMessages() {
        return fractions().entrySet().stream()
                .map(
                        each ->
                                CustomerShare.newBuilder()
                                        .setCustomer(each.getKey())
                                        .setFraction(each.getValue())
                                        .build())
                .toList();
    }

    /** Returns the message about the use of a customer at this entry. */
    static org.cornelway.rpc.CustomerUse toMessage(String customer, CustomerUse use) {
        return org.cornelway.rpc.CustomerUse.newBuilder()
                .setCustomer(customer)
                .setAskedPerSecond(use.askedPerSecond())
                .setServedPerSecond(use.servedPerSecond())
                .setWeight(use.weight())
                .build();
    }

    private static CustomerUse fromMessage(org.cornelway.rpc.CustomerUse use) {
        return new CustomerUse(use.getAskedPerSecond(), use.getServedPerSecond(), use.getWeight());
    }

    /** Returns the shares in a reply. */
    static Map<String, Double> fromMessages(List<CustomerShare> shares) {
        Map<String, Double> fractions = new HashMap<>();
        shares.forEach(share -> fractions.put(share.getCustomer(), share.getFraction()));
        return fractions;
    }
}
