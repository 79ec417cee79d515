package org.cornelway.traffic;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import java.io.IOException;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The unexpected errors of one caller's connection. As a listener of writes, closes the connection
 * if one fails, so that no response that lacks a part looks complete.
 *
 * <p>Invariant: an error of the network is the caller's end of the connection, and no error of this
 * process. Confined to the traffic thread; lives as long as its connection.
 */
final class ConnectionErrors implements ChannelFutureListener {
    private static final Logger LOG = LogManager.getLogger(ConnectionErrors.class);

    private Optional<String> mReason = Optional.empty();

    /** The first error because of which this process closes the connection; empty for none. */
    Optional<String> reason() {
        return mReason;
    }

    /**
     * Records an error.
     *
     * @return whether it is an error of this process
     */
    boolean record(Throwable cause) {
        if (cause instanceof IOException) {
            return false;
        }
        LOG.error("a caller's connection is closed because of an unexpected error", cause);
        mReason = mReason.or(() -> Optional.of("unexpected error: " + cause));
        return true;
    }

    @Override
    public void operationComplete(ChannelFuture write) {
        if (!write.isSuccess()) {
            record(write.cause());
            write.channel().close();
        }
    }
}
