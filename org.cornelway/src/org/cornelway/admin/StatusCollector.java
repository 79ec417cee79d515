package org.cornelway.admin;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cornelway.config.Configuration;
import org.cornelway.config.Json;
import org.cornelway.config.ModelRule;
import org.cornelway.placement.PlacementDocument;
import org.cornelway.placement.SlotBinding;
import org.cornelway.platform.KeyValue;
import org.cornelway.platform.Member;
import org.cornelway.relay.DocumentCache;
import org.cornelway.relay.DocumentKeys;
import org.cornelway.relay.MemberTable;
import org.cornelway.relay.PeerClient;
import org.cornelway.residency.ModelPhase;
import org.cornelway.rpc.DescribeReply;

/** Collects the status of all processes. Thread-safe. */
public final class StatusCollector {
    private static final int MAX_PARALLEL_CALLS = 64;

    private final MemberTable mMembers;
    private final DocumentCache mCache;
    private final PeerClient mPeers;

    /**
     * @param peers calls the processes
     */
    public StatusCollector(MemberTable members, DocumentCache cache, PeerClient peers) {
        mMembers = members;
        mCache = cache;
        mPeers = peers;
    }

    /**
     * Queries all processes and combines their answers with the configuration and the placement
     * that this process holds. A process that does not answer is reported as unreachable.
     */
    public Single<SystemStatus> collect() {
        return Flowable.fromIterable(mMembers.all().values())
                .flatMapSingle(this::describe, false, MAX_PARALLEL_CALLS)
                .toSortedList(Comparator.comparing(ProcessStatus::instance))
                .map(this::systemStatus);
    }

    private Single<ProcessStatus> describe(Member member) {
        return mPeers.describe(member)
                .map(reply -> processStatus(member, true, reply))
                .onErrorReturn(
                        e -> processStatus(member, false, DescribeReply.getDefaultInstance()));
    }

    private static ProcessStatus processStatus(
            Member member, boolean reachable, DescribeReply reply) {
        List<ProcessStatus.ReportedModel> models =
                reply.getModelsList().stream()
                        .map(m -> new ProcessStatus.ReportedModel(m.getModel(), m.getState()))
                        .toList();
        return new ProcessStatus(
                member.id(),
                member.role(),
                reachable,
                reply.getConfigurationRevision(),
                reply.getPlacementFencingNumber(),
                models,
                reply.getCapacityBytes(),
                reply.getReservedBytes(),
                reply.getActive(),
                reply.getWaiting(),
                reply.getOldestDeadlineMillis(),
                member.leaving() || reply.getLeaving(),
                reply.getHoldsControllerLease(),
                reply.getControllerLeaseAgeMillis(),
                reply.getKeyValueServiceUp(),
                reply.getSlow());
    }

    private SystemStatus systemStatus(List<ProcessStatus> processes) {
        Optional<KeyValue> document = mCache.find(DocumentKeys.CONFIGURATION);
        Optional<Configuration> configuration =
                document.flatMap(v -> Json.read(v.value(), Configuration.class));
        PlacementDocument placement =
                mCache.find(DocumentKeys.PLACEMENT)
                        .flatMap(v -> Json.read(v.value(), PlacementDocument.class))
                        .orElse(PlacementDocument.empty(0));
        List<ModelCapacity> models = new ArrayList<>();
        configuration.ifPresent(
                c ->
                        c.preset()
                                .models()
                                .forEach(
                                        rule ->
                                                models.add(
                                                        modelCapacity(
                                                                rule, placement, processes))));
        return new SystemStatus(
                configuration.map(c -> c.preset().name()).orElse(""),
                configuration.map(Configuration::version).orElse(0L),
                document.map(KeyValue::revision).orElse(0L),
                placement.fencingNumber(),
                models,
                processes);
    }

    private static ModelCapacity modelCapacity(
            ModelRule rule, PlacementDocument placement, List<ProcessStatus> processes) {
        int loaded = 0;
        int loading = 0;
        List<String> where = new ArrayList<>();
        for (ProcessStatus process : processes) {
            for (ProcessStatus.ReportedModel line : process.models()) {
                if (line.model().equals(rule.name())) {
                    boolean isLoaded = line.state().equals(ModelPhase.LOADED.name());
                    loaded += isLoaded ? 1 : 0;
                    loading += isLoaded ? 0 : 1;
                    where.add(process.instance());
                }
            }
        }
        List<String> slots =
                placement.activeBindings(rule.name()).stream().map(SlotBinding::server).toList();
        return new ModelCapacity(
                rule.name(), rule.warm(), rule.limit(), loaded, loading, where, slots);
    }
}
