package org.cornelway.cluster;

import org.cornelway.quota.QuotaReply;
import org.cornelway.quota.QuotaReport;
import org.cornelway.rpc.QuotaGrant;
import org.cornelway.rpc.QuotaUse;

/** Translates the reports on customers' quotas and the replies. Stateless and thread-safe. */
final class QuotaMessages {
    private QuotaMessages() {}

    static org.cornelway.rpc.QuotaReport toMessage(QuotaReport report) {
        org.cornelway.rpc.QuotaReport.Builder message =
                org.cornelway.rpc.QuotaReport.newBuilder()
                        .setFrom(report.entry())
                        .setBorn(report.born())
                        .setSharing(report.sharing())
                        .setFirst(report.first())
                        .setLedger(report.ledger());
        for (QuotaReport.Use use : report.uses()) {
            message.addUses(
                    QuotaUse.newBuilder()
                            .setCustomer(use.customer())
                            .setCeiling(use.ceiling())
                            .setSpent(use.spent())
                            .setReturned(use.returned())
                            .setWanted(use.wanted())
                            .setLeast(use.least())
                            .setPerSecond(use.perSecond())
                            .setCallCost(use.callCost()));
        }
        return message.build();
    }

    /** Returns a report that was received; when it was sent is not known here. */
    static QuotaReport fromMessage(org.cornelway.rpc.QuotaReport message) {
        return new QuotaReport(
                message.getFrom(),
                message.getBorn(),
                message.getSharing(),
                message.getFirst(),
                message.getLedger(),
                message.getUsesList().stream().map(QuotaMessages::fromMessage).toList(),
                0);
    }

    private static QuotaReport.Use fromMessage(QuotaUse use) {
        return new QuotaReport.Use(
                use.getCustomer(),
                use.getCeiling(),
                use.getSpent(),
                use.getReturned(),
                use.getWanted(),
                use.getLeast(),
                use.getPerSecond(),
                use.getCallCost());
    }

    static org.cornelway.rpc.QuotaReply toMessage(QuotaReply reply) {
        org.cornelway.rpc.QuotaReply.Builder message =
                org.cornelway.rpc.QuotaReply.newBuilder()
                        .setLedger(reply.ledger())
                        .setEntries(reply.entries());
        for (QuotaReply.Grant grant : reply.grants()) {
            message.addGrants(
                    QuotaGrant.newBuilder()
                            .setCustomer(grant.customer())
                            .setCeiling(grant.ceiling())
                            .setKeep(grant.keep())
                            .setWaitMillis(grant.waitMillis()));
        }
        return message.build();
    }

    static QuotaReply fromMessage(org.cornelway.rpc.QuotaReply message) {
        return new QuotaReply(
                message.getLedger(),
                message.getEntries(),
                message.getGrantsList().stream()
                        .map(
                                grant ->
                                        new QuotaReply.Grant(
                                                grant.getCustomer(),
                                                grant.getCeiling(),
                                                grant.getKeep(),
                                                grant.getWaitMillis()))
                        .toList());
    }
}
