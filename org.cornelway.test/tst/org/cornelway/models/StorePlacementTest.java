package org.cornelway.models;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelway.directory.ServerIncarnation;
import org.testng.annotations.Test;

/** Tests which engine is occupied by a load from the checkpoint store. */
public class StorePlacementTest {
    private static final double MEGABYTES = 70;
    private static final long LOAD_MILLIS = 12_000;

    private static StorePlacement.Engine engine(
            String id, List<StorePlacement.Copy> evictable, List<StorePlacement.Copy> cachedOnly) {
        EngineView view =
                new EngineView(
                        new ServerIncarnation(id, 1), 0, 0, Map.of(), Set.of(), Set.of(), 0, 0);
        return new StorePlacement.Engine(view, evictable, cachedOnly);
    }

    private static StorePlacement.Copy copy(
            String model, double rate, long objectiveMillis, boolean hasOtherCopy) {
        return new StorePlacement.Copy(model, MEGABYTES, rate, objectiveMillis, hasOtherCopy, 0);
    }

    private static LoadPlan choose(StorePlacement.Engine... engines) {
        return StorePlacement.choose(MEGABYTES, LOAD_MILLIS, List.of(engines)).orElseThrow();
    }

    /** Guards against a popular model that cannot be loaded while its only engine reads. */
    @Test
    public void onlyCopyOfModelWithShortObjectiveIsKept() {
        StorePlacement.Copy popular = copy("popular", 1, 300, false);
        StorePlacement.Copy rare = copy("rare", 0.3, 8_000, false);
        LoadPlan plan =
                choose(
                        engine("a", List.of(popular), List.of()),
                        engine("b", List.of(rare), List.of()));
        assertThat(plan.engine().id()).isEqualTo("b");
        assertThat(plan.victims()).containsExactly("rare");
        assertThat(plan.source()).isEqualTo(WeightSource.STORE);
    }

    @Test
    public void engineWhoseOtherCopiesAreNeededIsNotOccupied() {
        StorePlacement.Copy rare = copy("rare", 0.3, 8_000, false);
        StorePlacement.Copy idle = copy("idle", 0.3, 8_000, false);
        StorePlacement.Copy cached = copy("cached", 0.3, 8_000, false);
        LoadPlan plan =
                choose(
                        engine("a", List.of(rare), List.of(cached)),
                        engine("b", List.of(idle), List.of()));
        assertThat(plan.engine().id()).isEqualTo("b");
    }

    @Test
    public void modelWithCopyElsewhereIsEvictedFirst() {
        StorePlacement.Copy sole = copy("sole", 0.3, 8_000, false);
        StorePlacement.Copy other = copy("other", 0.3, 8_000, true);
        LoadPlan plan = choose(engine("a", List.of(sole, other), List.of()));
        assertThat(plan.victims()).containsExactly("other");
    }

    @Test
    public void noEngineWithoutRoomIsChosen() {
        assertThat(
                        StorePlacement.choose(
                                MEGABYTES, LOAD_MILLIS, List.of(engine("a", List.of(), List.of()))))
                .isEmpty();
    }
}
