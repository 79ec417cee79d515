package org.cornelway.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cornelway.invariant.Invariants;
import org.cornelway.result.Refusal;
import org.cornelway.result.ResultCode;
import org.cornelway.time.Deadline;
import org.testng.annotations.Test;

/** Tests the order and the limits of the queue, and that each request leaves it exactly once. */
public final class AdmissionQueueTest {
    private static final long URGENT_MILLIS = 1_000;

    private static AdmissionQueue queue(QueuePolicy policy, int capacity) {
        return new AdmissionQueue(policy, capacity, 100, Invariants.strict());
    }

    private static QueuedRequest request(
            String id, QueueClass queueClass, long deadline, long arrived) {
        return new QueuedRequest(id, queueClass, new Deadline(deadline), "m", "", 0, arrived);
    }

    @Test
    public void fifoStartsRequestsInArrivalOrder() {
        Random random = new Random(3);
        AdmissionQueue queue = queue(new FifoQueuePolicy(), 4);
        List<String> waiting = new ArrayList<>();
        List<String> running = new ArrayList<>();
        for (int step = 0; step < 5_000; step++) {
            if (random.nextBoolean() && waiting.size() < 50) {
                String id = String.format("%06d", step);
                assertThat(
                                queue.admit(
                                        request(id, QueueClass.INTERACTIVE, Long.MAX_VALUE, step),
                                        step))
                        .isEmpty();
                waiting.add(id);
            } else if (!running.isEmpty()) {
                queue.finish(running.remove(random.nextInt(running.size())), step);
            }
            Optional<QueuedRequest> next = queue.startNext(queued -> true, step);
            boolean shouldStart = running.size() < 4 && !waiting.isEmpty();
            assertThat(next.isPresent()).isEqualTo(shouldStart);
            if (shouldStart) {
                assertThat(next.get().requestId()).isEqualTo(waiting.get(0));
                running.add(waiting.remove(0));
            }
        }
    }

    @Test
    public void interactiveRequestsAndUrgentDeferredOnesStartFirst() {
        AdmissionQueue queue = queue(new ClassDeadlineQueuePolicy(URGENT_MILLIS), 1);
        queue.admit(request("review", QueueClass.DEFERRED, 5_000, 0), 0);
        queue.admit(request("summary", QueueClass.INTERACTIVE, 9_000, 1), 1);
        assertThat(queue.startNext(queued -> true, 2).map(QueuedRequest::requestId))
                .contains("summary");
        queue.finish("summary", 3);
        queue.admit(request("summary2", QueueClass.INTERACTIVE, 9_000, 4), 4);
        assertThat(queue.startNext(queued -> true, 4_500).map(QueuedRequest::requestId))
                .contains("review");
    }

    @Test
    public void deferredRequestsTakeNoMoreThanTheirShare() {
        AdmissionQueue queue = queue(new ClassDeadlineQueuePolicy(URGENT_MILLIS), 4);
        queue.setDeferredShare(0.5);
        for (int i = 0; i < 4; i++) {
            queue.admit(request("d" + i, QueueClass.DEFERRED, 100_000, 0), 0);
        }
        assertThat(queue.startNext(queued -> true, 1)).isPresent();
        assertThat(queue.startNext(queued -> true, 1)).isPresent();
        assertThat(queue.startNext(queued -> true, 1)).isEmpty();
        queue.admit(request("i", QueueClass.INTERACTIVE, 100_000, 2), 2);
        assertThat(queue.startNext(queued -> true, 2).map(QueuedRequest::requestId)).contains("i");
    }

    @Test
    public void infeasibleRequestIsRefusedAtOnce() {
        AdmissionQueue queue = queue(new FifoQueuePolicy(), 1);
        queue.admit(request("first", QueueClass.INTERACTIVE, 100_000, 0), 0);
        queue.startNext(queued -> true, 0);
        // The first request took 10 s, which raises the expected wait of later requests.
        queue.finish("first", 10_000);
        queue.admit(request("second", QueueClass.INTERACTIVE, 100_000, 10_000), 10_000);
        queue.startNext(queued -> true, 10_000);
        Optional<Refusal> refusal =
                queue.admit(request("third", QueueClass.INTERACTIVE, 10_100, 10_000), 10_000);
        assertThat(refusal.map(Refusal::code)).contains(ResultCode.DEADLINE_INFEASIBLE);
    }

    @Test
    public void eachAdmittedRequestLeavesQueueOnce() {
        Random random = new Random(11);
        AdmissionQueue queue = queue(new ClassDeadlineQueuePolicy(URGENT_MILLIS), 3);
        Set<String> ended = new HashSet<>();
        List<String> running = new ArrayList<>();
        int admitted = 0;
        for (int step = 0; step < 20_000; step++) {
            QueueClass queueClass = QueueClass.values()[random.nextInt(2)];
            QueuedRequest request =
                    request("r" + step, queueClass, step + 200 + random.nextInt(900), step);
            admitted += queue.admit(request, step).isEmpty() ? 1 : 0;
            queue.startNext(queued -> random.nextInt(3) > 0, step)
                    .ifPresent(queued -> running.add(queued.requestId()));
            if (!running.isEmpty() && random.nextInt(3) == 0) {
                String done = running.remove(random.nextInt(running.size()));
                queue.finish(done, step);
                assertThat(ended.add(done)).isTrue();
            }
            for (QueuedRequest expired : queue.removeExpired(step)) {
                assertThat(ended.add(expired.requestId())).isTrue();
                assertThat(expired.deadline().isPast(step)).isTrue();
            }
        }
        assertThat(ended.size() + running.size() + queue.waiting().size()).isEqualTo(admitted);
    }
}
