package org.cornelway.internal.platform;

import com.fasterxml.jackson.core.type.TypeReference;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import org.cornelway.config.Json;
import org.cornelway.platform.InstanceList;
import org.cornelway.platform.Member;

/**
 * Reads the instance list as a JSON array over HTTP. Each request carries the entity tag of the
 * last list, so that the platform does not send an unchanged list again.
 *
 * <p>Thread-safe.
 */
public final class HttpInstanceList implements InstanceList {
    /**
     * Time limit for the connection, and then for the response. If a single limit covered both and
     * passed before the connection opened, the request would be dropped without a reset and would
     * keep the only connection in use.
     */
    private static final long TIMEOUT_MILLIS = 2_000;

    private static final int NOT_MODIFIED = 304;

    private final HttpEndpointClient mHttp;
    private volatile TaggedList mLastList = new TaggedList("", List.of());

    /** The members of a list and its entity tag; the tag is empty before the first list. */
    private record TaggedList(String tag, List<Member> members) {}

    /**
     * @param endpoint endpoint at which the platform serves the list
     */
    public HttpInstanceList(Vertx vertx, HttpEndpoint endpoint) {
        mHttp = new HttpEndpointClient(vertx, endpoint, 1, TIMEOUT_MILLIS);
    }

    /** Returns the number of bytes exchanged with the platform. */
    public long transferredBytes() {
        return mHttp.transferredBytes();
    }

    @Override
    public Single<List<Member>> instances() {
        return mHttp.openRequest("GET", "/v1/instances")
                .flatMap(
                        request ->
                                mHttp.sendAndCollect(
                                        request.putHeader("If-None-Match", mLastList.tag()),
                                        new byte[0],
                                        TIMEOUT_MILLIS))
                .map(this::parseMembers);
    }

    private List<Member> parseMembers(HttpReply reply) throws IOException {
        if (reply.status() == NOT_MODIFIED) {
            return mLastList.members();
        }
        if (!reply.isSuccess()) {
            throw new IOException(
                    "instance list request failed with HTTP status " + reply.status());
        }
        List<Member> members =
                Json.lenientMapper().readValue(reply.body(), new TypeReference<List<Member>>() {});
        mLastList = new TaggedList(reply.entityTag(), members);
        return members;
    }
}
