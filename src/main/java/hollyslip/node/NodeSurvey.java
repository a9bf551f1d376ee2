package hollyslip.node;

import hollyslip.recovery.EpochElection.NodeView;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Asks nodes who holds a gateway's name, before that gateway takes its epoch. Nothing changes at the nodes
 * (NBD_OPT_LIST_META_CONTEXT, then NBD_OPT_ABORT). */
public final class NodeSurvey {
  private static final Logger LOG = LoggerFactory.getLogger(NodeSurvey.class);

  private NodeSurvey() {}

  /** What each node says, by its name; one that does not answer in time, or does not know our contexts, is
   * left out.
   *
   * @param timeoutUs
   *          for all of them together, us */
  public static Map<String, NodeView> queryHolders(Collection<NodePool.Address> nodes, String client,
      long timeoutUs)
      throws IOException {
    AsynchronousChannelGroup group = AsynchronousChannelGroup.withFixedThreadPool(1, r -> {
      Thread t = Executors.defaultThreadFactory().newThread(r);
      t.setName("node-survey");
      t.setDaemon(true);
      return t;
    });
    try {
      List<NodeQuery> asked = new ArrayList<>();
      for (NodePool.Address a : nodes) {
        asked.add(new NodeQuery(group, a, client));
      }
      Map<String, NodeView> known = new HashMap<>();
      long end = System.nanoTime() + timeoutUs * 1_000;
      for (NodeQuery q : asked) {
        NodeView k = q.awaitResult(end - System.nanoTime());
        if (k != null) {
          known.put(q.node, k);
        }
      }
      return known;
    } finally {
      group.shutdownNow();
    }
  }

  /** One node's. */
  private static final class NodeQuery implements CompletionHandler<Integer, ByteBuffer> {
    private final String node;
    private final AsynchronousSocketChannel channel;
    private final NbdHandshake handshake;
    private final ByteBuffer input = ByteBuffer.allocate(Nbd.MOST_OPTION + 64);
    private final CompletableFuture<NodeView> holderView = new CompletableFuture<>();

    NodeQuery(AsynchronousChannelGroup group, NodePool.Address node, String client) throws IOException {
      this.node = node.name();
      handshake = NbdHandshake.forHolderQuery(node.export(), client);
      channel = AsynchronousSocketChannel.open(group);
      connect(node.socketAddress());
    }

    private void connect(InetSocketAddress at) {
      try {
        channel.connect(at, null, new CompletionHandler<Void, Void>() {
          @Override
          public void completed(Void done, Void none) {
            channel.read(input, input, NodeQuery.this);
          }

          @Override
          public void failed(Throwable e, Void none) {
            holderView.completeExceptionally(e);
          }
        });
      } catch (RuntimeException e) {
        // An address that did not resolve is thrown here and not told to the handler.
        holderView.completeExceptionally(e);
      }
    }

    /** Bytes were read, or, with another buffer, sent. */
    @Override
    public void completed(Integer n, ByteBuffer buffer) {
      if (n < 0) {
        holderView.completeExceptionally(new IOException("the node closed the connection"));
      } else if (buffer != input) {
        writeOrRead(buffer);
      } else {
        processInput();
      }
    }

    private void processInput() {
      try {
        input.flip();
        boolean done = handshake.feed(input);
        input.compact();
        ByteBuffer out = handshake.takeOutput();
        if (done) {
          holderView.complete(handshake.holderView());
        }
        writeOrRead(out);
      } catch (NbdHandshake.NegotiationException e) {
        holderView.completeExceptionally(e);
      }
    }

    private void writeOrRead(ByteBuffer out) {
      if (out.hasRemaining()) {
        channel.write(out, out, this);
      } else if (!holderView.isDone()) {
        channel.read(input, input, this);
      }
    }

    @Override
    public void failed(Throwable e, ByteBuffer buffer) {
      holderView.completeExceptionally(e);
    }

    private NodeView awaitResult(long ns) {
      try {
        return holderView.get(Math.max(0, ns), TimeUnit.NANOSECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return null;
      } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
        LOG.atWarn()
            .addKeyValue("node", node)
            .addKeyValue("why", e.getCause() == null ? "no answer in time" : e.getCause().toString())
            .log("node.unasked");
        return null;
      }
    }
  }
}
