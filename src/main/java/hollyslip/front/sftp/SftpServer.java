package hollyslip.front.sftp;

import hollyslip.engine.RequestIntake;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerDomainSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.unix.DomainSocketAddress;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves file commands over a Unix socket: SFTP packets without encryption, for everybody who may open the
 * socket. Uses epoll(7) where it is available: it reports that a client has disconnected although its session
 * is not being read (EPOLLRDHUP), which the JDK's selector does not. */
public final class SftpServer {
  private static final Logger LOG = LoggerFactory.getLogger(SftpServer.class);

  private static final int THREADS = 2;

  private final boolean epoll = Epoll.isAvailable();
  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, epoll
      ? EpollIoHandler.newFactory()
      : NioIoHandler.newFactory());
  private final Channel listener;
  private final Path path;

  /** @param path
   *          path of the socket; a file left there is replaced */
  public SftpServer(RequestIntake engine, Path path) throws IOException {
    this.path = path;
    Files.deleteIfExists(path);
    if (!epoll) {
      LOG.atWarn().addKeyValue("why", String.valueOf(Epoll.unavailabilityCause())).log("sftp.no-epoll");
    }
    try {
      listener = new ServerBootstrap().group(group)
          .channel(epoll ? EpollServerDomainSocketChannel.class : NioServerDomainSocketChannel.class)
          .childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
              channel.pipeline()
                  .addLast(new LengthFieldBasedFrameDecoder(SftpPackets.MAX_PACKET_BYTES, 0, 4, 0, 4),
                      new LengthFieldPrepender(4), new SftpSession(engine));
            }
          })
          .bind(epoll ? new DomainSocketAddress(path.toFile()) : UnixDomainSocketAddress.of(path))
          .syncUninterruptibly()
          .channel();
    } catch (RuntimeException e) {
      group.shutdownGracefully();
      throw new IOException("sftp socket " + path + ": " + e.getMessage(), e);
    }
  }

  public Path path() {
    return path;
  }

  /** Stops accepting connections and closes the sessions. */
  public void close() {
    listener.close().syncUninterruptibly();
    group.shutdownGracefully();
  }
}
