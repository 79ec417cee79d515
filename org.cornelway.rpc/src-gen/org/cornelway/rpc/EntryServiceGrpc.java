package org.cornelway.rpc;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by every entry to the other entries on a platform where they call backend servers directly.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class EntryServiceGrpc {

  private EntryServiceGrpc() {}

  public static final java.lang.String SERVICE_NAME = "cornelway.v1.EntryService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.cornelway.rpc.ModelAsk,
      org.cornelway.rpc.ModelGrant> getAskModelMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "AskModel",
      requestType = org.cornelway.rpc.ModelAsk.class,
      responseType = org.cornelway.rpc.ModelGrant.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.cornelway.rpc.ModelAsk,
      org.cornelway.rpc.ModelGrant> getAskModelMethod() {
    io.grpc.MethodDescriptor<org.cornelway.rpc.ModelAsk, org.cornelway.rpc.ModelGrant> getAskModelMethod;
    if ((getAskModelMethod = EntryServiceGrpc.getAskModelMethod) == null) {
      synchronized (EntryServiceGrpc.class) {
        if ((getAskModelMethod = EntryServiceGrpc.getAskModelMethod) == null) {
          EntryServiceGrpc.getAskModelMethod = getAskModelMethod =
              io.grpc.MethodDescriptor.<org.cornelway.rpc.ModelAsk, org.cornelway.rpc.ModelGrant>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "AskModel"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cornelway.rpc.ModelAsk.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cornelway.rpc.ModelGrant.getDefaultInstance()))
              .setSchemaDescriptor(new EntryServiceMethodDescriptorSupplier("AskModel"))
              .build();
        }
      }
    }
    return getAskModelMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.cornelway.rpc.UseReport,
      org.cornelway.rpc.HoldingsReply> getReportUseMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ReportUse",
      requestType = org.cornelway.rpc.UseReport.class,
      responseType = org.cornelway.rpc.HoldingsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.cornelway.rpc.UseReport,
      org.cornelway.rpc.HoldingsReply> getReportUseMethod() {
    io.grpc.MethodDescriptor<org.cornelway.rpc.UseReport, org.cornelway.rpc.HoldingsReply> getReportUseMethod;
    if ((getReportUseMethod = EntryServiceGrpc.getReportUseMethod) == null) {
      synchronized (EntryServiceGrpc.class) {
        if ((getReportUseMethod = EntryServiceGrpc.getReportUseMethod) == null) {
          EntryServiceGrpc.getReportUseMethod = getReportUseMethod =
              io.grpc.MethodDescriptor.<org.cornelway.rpc.UseReport, org.cornelway.rpc.HoldingsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ReportUse"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cornelway.rpc.UseReport.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cornelway.rpc.HoldingsReply.getDefaultInstance()))
              .setSchemaDescriptor(new EntryServiceMethodDescriptorSupplier("ReportUse"))
              .build();
        }
      }
    }
    return getReportUseMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.cornelway.rpc.QuotaReport,
      org.cornelway.rpc.QuotaReply> getTakeQuotaMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "TakeQuota",
      requestType = org.cornelway.rpc.QuotaReport.class,
      responseType = org.cornelway.rpc.QuotaReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.cornelway.rpc.QuotaReport,
      org.cornelway.rpc.QuotaReply> getTakeQuotaMethod() {
    io.grpc.MethodDescriptor<org.cornelway.rpc.QuotaReport, org.cornelway.rpc.QuotaReply> getTakeQuotaMethod;
    if ((getTakeQuotaMethod = EntryServiceGrpc.getTakeQuotaMethod) == null) {
      synchronized (EntryServiceGrpc.class) {
        if ((getTakeQuotaMethod = EntryServiceGrpc.getTakeQuotaMethod) == null) {
          EntryServiceGrpc.getTakeQuotaMethod = getTakeQuotaMethod =
              io.grpc.MethodDescriptor.<org.cornelway.rpc.QuotaReport, org.cornelway.rpc.QuotaReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "TakeQuota"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cornelway.rpc.QuotaReport.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.cornelway.rpc.QuotaReply.getDefaultInstance()))
              .setSchemaDescriptor(new EntryServiceMethodDescriptorSupplier("TakeQuota"))
              .build();
        }
      }
    }
    return getTakeQuotaMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static EntryServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryServiceStub>() {
        @java.lang.Override
        public EntryServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryServiceStub(channel, callOptions);
        }
      };
    return EntryServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static EntryServiceBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryServiceBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryServiceBlockingV2Stub>() {
        @java.lang.Override
        public EntryServiceBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryServiceBlockingV2Stub(channel, callOptions);
        }
      };
    return EntryServiceBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static EntryServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryServiceBlockingStub>() {
        @java.lang.Override
        public EntryServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryServiceBlockingStub(channel, callOptions);
        }
      };
    return EntryServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static EntryServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<EntryServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<EntryServiceFutureStub>() {
        @java.lang.Override
        public EntryServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new EntryServiceFutureStub(channel, callOptions);
        }
      };
    return EntryServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by every entry to the other entries on a platform where they call backend servers directly.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Asks the controller for a server that holds a model or an adapter; answers once one does.
     * </pre>
     */
    default void askModel(org.cornelway.rpc.ModelAsk request,
        io.grpc.stub.StreamObserver<org.cornelway.rpc.ModelGrant> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getAskModelMethod(), responseObserver);
    }

    /**
     * <pre>
     * Tells the controller what is in use, and learns what the servers hold.
     * </pre>
     */
    default void reportUse(org.cornelway.rpc.UseReport request,
        io.grpc.stub.StreamObserver<org.cornelway.rpc.HoldingsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getReportUseMethod(), responseObserver);
    }

    /**
     * <pre>
     * Asks the process that grants tokens of customers' quotas for more; answers at once.
     * </pre>
     */
    default void takeQuota(org.cornelway.rpc.QuotaReport request,
        io.grpc.stub.StreamObserver<org.cornelway.rpc.QuotaReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getTakeQuotaMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service EntryService.
   * <pre>
   * Served by every entry to the other entries on a platform where they call backend servers directly.
   * </pre>
   */
  public static abstract class EntryServiceImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return EntryServiceGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service EntryService.
   * <pre>
   * Served by every entry to the other entries on a platform where they call backend servers directly.
   * </pre>
   */
  public static final class EntryServiceStub
      extends io.grpc.stub.AbstractAsyncStub<EntryServiceStub> {
    private EntryServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryServiceStub(channel, callOptions);
    }

    /**
     * <pre>
     * Asks the controller for a server that holds a model or an adapter; answers once one does.
     * </pre>
     */
    public void askModel(org.cornelway.rpc.ModelAsk request,
        io.grpc.stub.StreamObserver<org.cornelway.rpc.ModelGrant> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getAskModelMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Tells the controller what is in use, and learns what the servers hold.
     * </pre>
     */
    public void reportUse(org.cornelway.rpc.UseReport request,
        io.grpc.stub.StreamObserver<org.cornelway.rpc.HoldingsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getReportUseMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Asks the process that grants tokens of customers' quotas for more; answers at once.
     * </pre>
     */
    public void takeQuota(org.cornelway.rpc.QuotaReport request,
        io.grpc.stub.StreamObserver<org.cornelway.rpc.QuotaReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getTakeQuotaMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service EntryService.
   * <pre>
   * Served by every entry to the other entries on a platform where they call backend servers directly.
   * </pre>
   */
  public static final class EntryServiceBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<EntryServiceBlockingV2Stub> {
    private EntryServiceBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryServiceBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryServiceBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Asks the controller for a server that holds a model or an adapter; answers once one does.
     * </pre>
     */
    public org.cornelway.rpc.ModelGrant askModel(org.cornelway.rpc.ModelAsk request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getAskModelMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells the controller what is in use, and learns what the servers hold.
     * </pre>
     */
    public org.cornelway.rpc.HoldingsReply reportUse(org.cornelway.rpc.UseReport request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getReportUseMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Asks the process that grants tokens of customers' quotas for more; answers at once.
     * </pre>
     */
    public org.cornelway.rpc.QuotaReply takeQuota(org.cornelway.rpc.QuotaReport request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getTakeQuotaMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service EntryService.
   * <pre>
   * Served by every entry to the other entries on a platform where they call backend servers directly.
   * </pre>
   */
  public static final class EntryServiceBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<EntryServiceBlockingStub> {
    private EntryServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryServiceBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Asks the controller for a server that holds a model or an adapter; answers once one does.
     * </pre>
     */
    public org.cornelway.rpc.ModelGrant askModel(org.cornelway.rpc.ModelAsk request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getAskModelMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Tells the controller what is in use, and learns what the servers hold.
     * </pre>
     */
    public org.cornelway.rpc.HoldingsReply reportUse(org.cornelway.rpc.UseReport request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReportUseMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Asks the process that grants tokens of customers' quotas for more; answers at once.
     * </pre>
     */
    public org.cornelway.rpc.QuotaReply takeQuota(org.cornelway.rpc.QuotaReport request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getTakeQuotaMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service EntryService.
   * <pre>
   * Served by every entry to the other entries on a platform where they call backend servers directly.
   * </pre>
   */
  public static final class EntryServiceFutureStub
      extends io.grpc.stub.AbstractFutureStub<EntryServiceFutureStub> {
    private EntryServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected EntryServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new EntryServiceFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Asks the controller for a server that holds a model or an adapter; answers once one does.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.cornelway.rpc.ModelGrant> askModel(
        org.cornelway.rpc.ModelAsk request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getAskModelMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Tells the controller what is in use, and learns what the servers hold.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.cornelway.rpc.HoldingsReply> reportUse(
        org.cornelway.rpc.UseReport request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getReportUseMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Asks the process that grants tokens of customers' quotas for more; answers at once.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.cornelway.rpc.QuotaReply> takeQuota(
        org.cornelway.rpc.QuotaReport request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getTakeQuotaMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_ASK_MODEL = 0;
  private static final int METHODID_REPORT_USE = 1;
  private static final int METHODID_TAKE_QUOTA = 2;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_ASK_MODEL:
          serviceImpl.askModel((org.cornelway.rpc.ModelAsk) request,
              (io.grpc.stub.StreamObserver<org.cornelway.rpc.ModelGrant>) responseObserver);
          break;
        case METHODID_REPORT_USE:
          serviceImpl.reportUse((org.cornelway.rpc.UseReport) request,
              (io.grpc.stub.StreamObserver<org.cornelway.rpc.HoldingsReply>) responseObserver);
          break;
        case METHODID_TAKE_QUOTA:
          serviceImpl.takeQuota((org.cornelway.rpc.QuotaReport) request,
              (io.grpc.stub.StreamObserver<org.cornelway.rpc.QuotaReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getAskModelMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.cornelway.rpc.ModelAsk,
              org.cornelway.rpc.ModelGrant>(
                service, METHODID_ASK_MODEL)))
        .addMethod(
          getReportUseMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.cornelway.rpc.UseReport,
              org.cornelway.rpc.HoldingsReply>(
                service, METHODID_REPORT_USE)))
        .addMethod(
          getTakeQuotaMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.cornelway.rpc.QuotaReport,
              org.cornelway.rpc.QuotaReply>(
                service, METHODID_TAKE_QUOTA)))
        .build();
  }

  private static abstract class EntryServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    EntryServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.cornelway.rpc.Cornelway.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("EntryService");
    }
  }

  private static final class EntryServiceFileDescriptorSupplier
      extends EntryServiceBaseDescriptorSupplier {
    EntryServiceFileDescriptorSupplier() {}
  }

  private static final class EntryServiceMethodDescriptorSupplier
      extends EntryServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    EntryServiceMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (EntryServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new EntryServiceFileDescriptorSupplier())
              .addMethod(getAskModelMethod())
              .addMethod(getReportUseMethod())
              .addMethod(getTakeQuotaMethod())
              .build();
        }
      }
    }
    return result;
  }
}
