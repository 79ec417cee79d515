package org.cornelway.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests that an event loop that is late learns of a caller's close before it acts on a request. */
public class TrafficContextTest {
    private static final long TIMEOUT_SECONDS = 10;

    /** Time for which the handler blocks the event loop; longer than the delay of any timer. */
    private static final long BLOCK_MILLIS = 50;

    /** Acts on the first bytes of a connection after the next read, and blocks the event loop. */
    private static final class BlockingHandler extends ChannelInboundHandlerAdapter {
        private final TrafficContext mContext;
        private final CompletableFuture<Boolean> mClosedBeforeAction = new CompletableFuture<>();
        private boolean mClosed;

        BlockingHandler(TrafficContext context) {
            mContext = context;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message)
                throws InterruptedException {
            ReferenceCountUtil.release(message);
            mContext.afterNextRead(() -> mClosedBeforeAction.complete(mClosed));
            Thread.sleep(BLOCK_MILLIS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mClosed = true;
        }
    }

    @Test
    public void closeOfTheCallerIsReadBeforeTheAction() throws IOException {
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = (EventLoop) group.next();
        BlockingHandler handler = new BlockingHandler(contextOf(loop));
        Channel server =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline().addLast(handler);
                                    }
                                })
                        .bind(InetAddress.getLoopbackAddress(), 0)
                        .syncUninterruptibly()
                        .channel();
        int port = ((InetSocketAddress) server.localAddress()).getPort();
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.getOutputStream().write(1);
        }
        boolean closed =
                handler.mClosedBeforeAction.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        assertThat(closed).isTrue();
    }

    private static TrafficContext contextOf(EventLoop loop) {
        return new TrafficContext(
                loop, null, null, null, null, null, null, null, null, null, null, null, null, null,
                null, null, null, null, null, null, null);
    }
}
